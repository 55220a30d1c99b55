//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// lostCase: servers of the booking service crash while they run requests, so that their
// answers are lost, and start again under their IDs and addresses. No attempt may run twice,
// and none that has run may get a promise that it has not.
func lostCase(rec *record, folder, program string, trouble bool) (int, error) {
	s, err := newSite(rec, folder, program, 4)
	if err != nil {
		return 0, err
	}
	defer s.stopAll()
	s.bookTime = 200 * time.Millisecond
	for i := range 8 {
		if _, err := s.addEngine("taquilla", zones[i%4]); err != nil {
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
	stop := make(chan struct{})
	var crashes sync.WaitGroup
	if trouble {
		crashes.Go(func() {
			for i := 0; ; i++ { // one server of eight at a time
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
				e := s.engines[i%8]
				rec.add("disruption: server %s crashes", e.id)
				e.close()
				time.Sleep(crashTime)
				if err := s.reborn(e, "v1"); err != nil {
					rec.add("server %s could not start again: %v", e.id, err)
				}
			}
		})
	}
	var done sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	promised := 0
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 50}}
	for i := range 800 { // 20 s
		done.Go(func() {
			id := fmt.Sprintf("%016x", rand.Uint64())
			r, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/once/2f", s.machines[i%4].ip, frontPort), strings.NewReader(fmt.Sprintf("booking-%d", i)))
			r.Host = host
			r.Header.Set("Attempt-Id", id)
			r.Header.Set("Deadline-Ms", "1000")
			r.Header.Set("X-Api-Key", apiKey)
			status := 0
			if resp, err := client.Do(r); err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				status = resp.StatusCode
			}
			time.Sleep(2 * time.Second)
			s.booked.mu.Lock()
			runs := s.booked.runs[id]
			s.booked.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
			if runs > 0 && (status == 429 || status == 503 || status == 408 || status == 421) {
				promised++
				rec.add("REFUSED: attempt %s got %d and has run", id, status)
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	close(stop)
	crashes.Wait()
	done.Wait()
	twice, lost := 0, 0
	s.booked.mu.Lock()
	defer s.booked.mu.Unlock()
	for id, n := range s.booked.runs {
		if n > 1 {
			twice++
			rec.add("TWICE: attempt %s ran %d times", id, n)
		}
	}
	lost = statuses[502] + statuses[504]
	rec.add("answers by status (0 for none): %v; lost answers: %d; attempts run twice: %d; promises broken: %d", statuses, lost, twice, promised)
	if trouble && lost == 0 {
		return 0, fmt.Errorf("no answer was lost")
	}
	if twice+promised > 0 {
		return broken, nil
	}
	return held, nil
}
