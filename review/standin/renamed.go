//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// renamedCase: two software versions serve side by side in one service. A configuration
// gives the route of running streams another name, and nothing else. Then connections at
// one entry are reset, and the clients take their streams up at other entries, while new
// streams begin there.
func renamedCase(rec *record, folder, program string, trouble bool) (int, error) {
	s, err := newSite(rec, folder, program, 4)
	if err != nil {
		return 0, err
	}
	defer s.stopAll()
	s.routes = map[string]string{"draft/": "redactor"}
	for i := range 8 {
		e, err := s.addEngine("redactor", zones[i%4])
		if err != nil {
			return 0, err
		}
		e.version = fmt.Sprintf("v%d", 1+i/4)
	}
	if err := s.startAll(configuration(1, "redactor")); err != nil {
		return 0, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	first, err := newProxy(s.base+".210:0", fmt.Sprintf("%s:%d", s.machines[0].ip, frontPort))
	if err != nil {
		return 0, err
	}
	defer first.listener.Close()
	entry := func(i int) string { return fmt.Sprintf("%s:%d", s.machines[i].ip, frontPort) }
	var clients []*client
	var done sync.WaitGroup
	begin := func(name string, entries ...string) *client {
		c := &client{site: s, entries: entries, request: streamRequest{name, "/draft/", "5c1e07a2", fmt.Sprintf("%08x", 0x1000+len(clients)), 5400}}
		clients = append(clients, c)
		done.Go(c.run)
		return c
	}
	for i := range 17 {
		begin(fmt.Sprintf("old%d", i), first.listener.Addr().String(), entry(1), entry(2))
	}
	time.Sleep(2 * time.Second)
	next := configuration(2, "redactor")
	if trouble {
		next["routes"].([]any)[0].(map[string]any)["name"] = "r-draft-2"
	}
	if err := s.putConfig(next, 5*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(applyTime + 300*time.Millisecond)
	for _, c := range clients[:12] { // 0.71 of the connections at one of four machines
		local, last := c.state()
		rec.add("disruption: the connection of client %s is reset at event %d: %v", c.request.name, last, first.reset(local))
	}
	taken := clients[:12:12]
	var fresh []*client
	for i := range 12 {
		fresh = append(fresh, begin(fmt.Sprintf("new%d", i), entry(1+i%2)))
	}
	done.Wait()
	complete := func(list []*client) (n int) {
		for _, c := range list {
			rec.add("client %s: %s, %d events, %d of another request's answer, %d out of order", c.request.name, c.result, c.last, c.foreign, c.wrong)
			if c.result == "complete" {
				n++
			}
		}
		return n
	}
	on, begun := complete(taken), complete(fresh)
	rec.add("streams taken up that go on: %d of %d; new streams that begin: %d of %d", on, len(taken), begun, len(fresh))
	if 2*on*len(fresh) < begun*len(taken) {
		return broken, nil
	}
	return held, nil
}
