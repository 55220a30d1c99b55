//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of movedCase.
const (
	applyTime  = 2000 * time.Millisecond // config_apply_ms
	returnTime = 50 * time.Second        // twice the route's timeout
)

// movedCase: a configuration drops the route of a running stream and adds one of another
// name at the same host and prefix, which leads to another service. More than applyTime
// after its acknowledgement the connection of the stream's client is reset, one of two at
// that entry, and the client takes the stream up at another entry.
func movedCase(rec *record, folder, program string, trouble bool) (int, error) {
	s, err := newSite(rec, folder, program, 4)
	if err != nil {
		return 0, err
	}
	defer s.stopAll()
	s.routes = map[string]string{"draft/": "redactor", "summary/": "redactor"}
	for _, service := range []string{"redactor", "resumen"} {
		for i := range 8 {
			if _, err := s.addEngine(service, zones[i%4]); err != nil {
				return 0, err
			}
		}
	}
	if err := s.startAll(configuration(1, "redactor")); err != nil {
		return 0, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(returnTime)
	first, err := newProxy(s.base+".210:0", fmt.Sprintf("%s:%d", s.machines[0].ip, frontPort))
	if err != nil {
		return 0, err
	}
	defer first.listener.Close()
	others := []string{fmt.Sprintf("%s:%d", s.machines[1].ip, frontPort), fmt.Sprintf("%s:%d", s.machines[2].ip, frontPort)}
	var clients []*client
	var done sync.WaitGroup
	for _, q := range []streamRequest{{"A", "/summary/", "77a0c1d4", "91bd3f06", 5400}, {"B", "/draft/", "5c1e07a2", "e4402b7d", 5400}} {
		c := &client{site: s, request: q, entries: append([]string{first.listener.Addr().String()}, others...)}
		clients = append(clients, c)
		done.Go(c.run)
	}
	time.Sleep(2 * time.Second)
	next := configuration(2, "resumen")
	next["routes"].([]any)[1].(map[string]any)["name"] = "r-summary-2"
	if err := s.putConfig(next, 5*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(applyTime + 300*time.Millisecond)
	s.mu.Lock()
	s.routes, s.moved = map[string]string{"draft/": "redactor", "summary/": "resumen"}, true // for requests from now on
	s.mu.Unlock()
	if trouble {
		local, last := clients[0].state()
		rec.add("disruption: the connection of client A is reset at event %d: %v", last, first.reset(local))
	}
	done.Wait()
	for _, c := range clients {
		rec.add("client %s: %s, %d events, %d of another request's answer, %d out of order", c.request.name, c.result, c.last, c.foreign, c.wrong)
		if c.result != "complete" && !trouble {
			return 0, fmt.Errorf("a stream failed without disruption")
		}
	}
	rec.add("requests that the old service ran, sent more than %v after the acknowledgement: %d", applyTime, misroutes.n)
	if misroutes.n > 0 {
		return broken, nil
	}
	return held, nil
}
