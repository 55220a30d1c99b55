//go:build review

package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// giveUpLimit is how long after a client's close a server may still work on its request.
const giveUpLimit = 500 * time.Millisecond

// giveUpCase: a fifth of the clients leave, at different moments of their streams.
func giveUpCase(rec *record, folder, program string, trouble bool) (int, error) {
	s, err := newSite(rec, folder, program, 4)
	if err != nil {
		return 0, err
	}
	defer s.stopAll()
	s.routes = map[string]string{"draft/": "redactor"}
	for i := range 8 {
		if _, err := s.addEngine("redactor", zones[i%4]); err != nil {
			return 0, err
		}
	}
	if err := s.startAll(configuration(1, "redactor")); err != nil {
		return 0, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	var done sync.WaitGroup
	var mu sync.Mutex
	left, late := 0, 0
	for i := range 100 {
		c := &client{site: s, entries: []string{fmt.Sprintf("%s:%d", s.machines[i%4].ip, frontPort)},
			request: streamRequest{fmt.Sprintf("R%d", i), "/draft/", "5c1e07a2", fmt.Sprintf("%08x", 0x1000+i), 5400}}
		if trouble && i%5 == 0 {
			after := time.Duration(i) * 30 * time.Millisecond
			c.onConn = func(conn net.Conn, id string) {
				time.AfterFunc(after, func() {
					conn.Close()
					rec.add("disruption: client %s leaves, %v after it sent attempt %s", c.request.name, after, id)
					time.AfterFunc(giveUpLimit, func() {
						mu.Lock()
						defer mu.Unlock()
						left++
						if n := s.work.count(id); n > 0 {
							late++
							rec.add("attempt %s is worked on by %d servers %v after its client left", id, n, giveUpLimit)
						}
					})
				})
			}
		}
		done.Go(c.run)
		time.Sleep(30 * time.Millisecond)
	}
	done.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	rec.add("clients that left: %d; requests worked on %v later: %d", left, giveUpLimit, late)
	if 4*late > left && late > 0 {
		return broken, nil
	}
	return held, nil
}

// count returns how many servers work on a request.
func (l *workList) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.at[id])
}
