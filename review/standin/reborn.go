//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// lagTime is lag_ms: how long the platform's list lags.
const lagTime = 800 * time.Millisecond

// reborn starts another incarnation of a crashed server under its ID and address, of
// another software version. The list shows that version after lagTime.
func (s *site) reborn(e *engine, version string) error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.gone, e.serves = false, version
	e.runs, e.copies, e.handles = map[string]*memory{}, map[string]*memory{}, map[string]string{}
	e.server = &http.Server{Handler: e, ConnContext: e.server.ConnContext}
	go e.server.Serve(l)
	e.mu.Unlock()
	s.rec.add("disruption: server %s starts again under its ID, at version %s", e.id, version)
	time.AfterFunc(lagTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.version = version
	})
	return nil
}

// rebornCase: a service has two servers of each of two versions. One of the first version
// crashes and starts again under its ID at the second; while the list lags, the other crashes.
func rebornCase(rec *record, folder, program string, trouble bool) (int, error) {
	s, err := newSite(rec, folder, program, 4)
	if err != nil {
		return 0, err
	}
	defer s.stopAll()
	s.eventPause = busyPause
	s.routes = map[string]string{"draft/": "redactor"}
	for i := range 4 {
		e, err := s.addEngine("redactor", zones[i%4])
		if err != nil {
			return 0, err
		}
		e.version = fmt.Sprintf("v%d", 1+i/2)
		e.serves = e.version
	}
	if err := s.startAll(configuration(1, "redactor")); err != nil {
		return 0, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	var clients []*client
	var done sync.WaitGroup
	for i := range 24 {
		m := func(k int) string { return fmt.Sprintf("%s:%d", s.machines[(i+k)%4].ip, frontPort) }
		c := &client{site: s, entries: []string{m(0), m(1), m(2)}, request: streamRequest{fmt.Sprintf("R%d", i), "/draft/", "5c1e07a2", fmt.Sprintf("%08x", 0x1000+i), 5400}}
		clients = append(clients, c)
		done.Go(c.run)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		first, second := s.engines[0], s.engines[1]
		rec.add("disruption: server %s crashes", first.id)
		first.close()
		time.Sleep(crashTime)
		if err := s.reborn(first, "v2"); err != nil {
			return 0, err
		}
		time.Sleep(100 * time.Millisecond)
		rec.add("disruption: server %s crashes", second.id)
		second.close()
	}
	done.Wait()
	mixed := 0
	for _, c := range clients {
		rec.add("client %s: %s, %d events, versions %v", c.request.name, c.result, c.last, c.versions)
		if len(c.versions) > 1 {
			mixed++
		}
	}
	rec.add("streams with events of two software versions: %d", mixed)
	if mixed > 2 {
		return broken, nil
	}
	return held, nil
}
