//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// twiceLimit is how long a server may still work on a request that goes on at another one.
const twiceLimit = 400 * time.Millisecond

// workList knows which servers work on a request, by its Attempt-Id.
type workList struct {
	mu    sync.Mutex
	at    map[string]map[*engine]bool
	twice int
}

// begin records that a server works on a request, until the returned function is called. It
// records a break of TWICE if another server, which began before, works on it twiceLimit
// later.
func (l *workList) begin(e *engine, id string, rec *record) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == nil {
		l.at = map[string]map[*engine]bool{}
	}
	if l.at[id] == nil {
		l.at[id] = map[*engine]bool{}
	}
	for before := range l.at[id] {
		if before != e {
			time.AfterFunc(twiceLimit, func() { l.check(before, e, id, rec) })
		}
	}
	l.at[id][e] = true
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.at[id], e)
	}
}

func (l *workList) check(before, next *engine, id string, rec *record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at[id][before] {
		l.twice++
		rec.add("TWICE: request %s went on at server %s %v ago, and server %s still works on it", id, next.id, twiceLimit, before.id)
	}
}

// Parameters of twiceCase.
const (
	slowFactor = 5.0                     // the site's largest dose of srv_slow
	slowTime   = 6500 * time.Millisecond // likewise
	busyPause  = 100 * time.Millisecond  // between two events, beside others whose prompts are read
)

// twiceCase: one server of eight turns slow. It is one of the few that don't drop a request
// when its connection closes.
func twiceCase(rec *record, folder, program string, trouble bool) (int, error) {
	s, err := newSite(rec, folder, program, 4)
	if err != nil {
		return 0, err
	}
	defer s.stopAll()
	s.eventPause = busyPause
	s.routes = map[string]string{"draft/": "redactor"}
	var slow *engine
	for i := range 8 {
		if slow, err = s.addEngine("redactor", zones[i%4]); err != nil {
			return 0, err
		}
	}
	slow.patient = true
	if err := s.startAll(configuration(1, "redactor")); err != nil {
		return 0, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second) // contact_ms, so that all machines are in touch
	var clients []*client
	var done sync.WaitGroup
	for i := range 16 {
		m := s.machines[i%4]
		c := &client{site: s, entries: []string{fmt.Sprintf("%s:%d", m.ip, frontPort)},
			request: streamRequest{fmt.Sprintf("R%d", i), "/draft/", "5c1e07a2", fmt.Sprintf("%08x", 0x1000+i), 5400}}
		clients = append(clients, c)
		done.Go(c.run)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		slow.mu.Lock()
		slow.slow = slowFactor
		rec.add("disruption: server %s turns slow, %g times for %v; it works on %d requests", slow.id, slowFactor, slowTime, len(slow.runs))
		slow.mu.Unlock()
		time.AfterFunc(slowTime, func() {
			slow.mu.Lock()
			defer slow.mu.Unlock()
			slow.slow = 1
			rec.add("disruption: server %s is as fast as before", slow.id)
		})
	}
	done.Wait()
	for _, c := range clients {
		rec.add("client %s: %s, %d events, %d of another request's answer, %d out of order", c.request.name, c.result, c.last, c.foreign, c.wrong)
		if c.result != "complete" && !trouble {
			return 0, fmt.Errorf("a stream failed without disruption")
		}
	}
	s.work.mu.Lock()
	defer s.work.mu.Unlock()
	rec.add("requests at two servers for longer than %v: %d", twiceLimit, s.work.twice)
	if s.work.twice > 0 {
		return broken, nil
	}
	return held, nil
}
