//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// object is a JSON object.
type object map[string]any

// configuration is that of a small site: a route for drafts and one for lookups.
func configuration() object {
	return object{
		"version": 7,
		"routes": []object{
			{"name": "r-i6y7z5k", "host": host, "path_prefix": "/pufi791/", "route_type": "streaming", "timeout_ms": 25000, "target_latency_ms": 4500, "priority": 1, "service": "huvo11a", "max_attempts": 5, "allow_anonymous": false, "session_affinity": true, "stream_resume": true, "target_gap_ms": 700},
			{"name": "r-yhvz3pf", "host": host, "path_prefix": "/puxa403/", "route_type": "unsafe", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 2, "service": "wuno96b", "max_attempts": 1, "allow_anonymous": false},
		},
		"services": []object{
			{"name": "huvo11a", "health_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false, "engine": object{"slots": 64, "kv_capacity_tokens": 88000, "kv_token_bytes": 163840, "link_mbps": 370000.0, "moves": true, "backups": true, "stride": 6, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 4.0, "models": []object{{"name": "m"}}}},
			{"name": "wuno96b", "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false},
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{{"name": tenant, "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// Times of the play, from the first request on.
const (
	powerLoss  = 2 * time.Second
	powerBack  = powerLoss + 3500*time.Millisecond
	repeatGap  = 6 * time.Second // between two requests about one thing
	repeats    = 3
	things     = 4
	thingsText = 8000 // bytes of a request
)

// playForgotten: some clients have streams at one daemon, which loses power. They see nothing
// for 18 s, give their streams up, and take them up at another daemon. Others ask about the
// same things meanwhile, with the same text.
func playForgotten(s *site, trouble bool) error {
	if err := s.servers.add("huvo11a", true, 6); err != nil {
		return err
	}
	if err := s.servers.add("wuno96b", false, 3); err != nil {
		return err
	}
	if err := s.addNodes(3, 4); err != nil {
		return err
	}
	if err := s.begin(configuration()); err != nil {
		return err
	}
	lost, of, other := s.entries()[0], s.entries()[1], s.entries()[2]
	var clients sync.WaitGroup
	draftOf := func(thing int, name string) *draft {
		text := strings.Repeat(fmt.Sprintf("logbook of boat %d. ", thing), thingsText/20)
		return &draft{name: name, path: fmt.Sprintf("/pufi791/%df", thing), body: text, part: fmt.Sprintf("e44%05x", thing)}
	}
	for thing := range things {
		clients.Go(func() { s.finish(draftOf(thing, fmt.Sprintf("first-%d", thing)), lost, other) })
		clients.Go(func() {
			for i := range repeats {
				time.Sleep(repeatGap)
				clients.Go(func() { s.finish(draftOf(thing, fmt.Sprintf("other-%d-%d", thing, i)), of, other) })
			}
		})
	}
	if trouble {
		time.Sleep(powerLoss)
		s.record.line("platform: %s loses power", lost.name)
		lost.link.setDark(true)
		lost.kill()
		time.Sleep(powerBack - powerLoss)
		if err := lost.start(); err != nil {
			return err
		}
		lost.link.setDark(false)
		s.record.line("platform: %s is back", lost.name)
	}
	clients.Wait()
	return nil
}
