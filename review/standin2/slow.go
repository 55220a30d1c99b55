//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Parameters of the play.
const (
	slowFactor = 5.0                     // the site's dose of srv_slow
	slowTime   = 6500 * time.Millisecond // likewise
	slowAt     = 4 * time.Second         // from the first request on
	busyGap    = 100 * time.Millisecond  // between two events, beside others whose prompts are read
	streams    = 24
)

// playSlow: one model server of seven turns slow. It is one of the few that don't drop a
// request when its connection closes.
func playSlow(s *site, trouble bool) error {
	if err := s.servers.add("huvo11a", true, 7); err != nil {
		return err
	}
	if err := s.servers.add("wuno96b", false, 3); err != nil {
		return err
	}
	if err := s.addNodes(3, 4); err != nil {
		return err
	}
	s.servers.gap = busyGap
	slow := s.servers.all[6]
	slow.patient = true
	if err := s.begin(configuration()); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // contact_ms, so that all machines are in touch
	entries := s.entries()
	var clients sync.WaitGroup
	began := time.Now()
	for i := range streams {
		d := &draft{name: fmt.Sprintf("draft-%d", i), path: fmt.Sprintf("/pufi791/%df", i), body: strings.Repeat(fmt.Sprintf("dossier %d. ", i), thingsText/12), part: fmt.Sprintf("e45%05x", i)}
		clients.Go(func() { s.finish(d, entries[i%len(entries)], entries[(i+1)%len(entries)]) })
		time.Sleep(100 * time.Millisecond)
	}
	if trouble {
		time.Sleep(time.Until(began.Add(slowAt)))
		slow.mu.Lock()
		slow.slow = slowFactor
		s.record.line("platform: server %s turns slow, %g times for %v; it works on %d requests", slow.id, slowFactor, slowTime, len(slow.runs))
		slow.mu.Unlock()
		time.Sleep(slowTime)
		slow.mu.Lock()
		slow.slow = 1
		slow.mu.Unlock()
		s.record.line("platform: server %s is as fast as before", slow.id)
	}
	clients.Wait()
	return nil
}
