//go:build review

package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// bookTime is how long a server of the booking service works on a request.
const bookTime = 30 * time.Millisecond

// bookings are the requests that servers of the booking service ran.
type bookings struct {
	mu   sync.Mutex
	runs map[string]int // by Attempt-Id
	of   map[string]int // by request, over all attempts of its client
}

// book runs a request of the unsafe route. A grey server fails part of them, with 429 and no
// Not-Executed.
func (e *engine) book(w http.ResponseWriter, id, content string) {
	b := &e.site.booked
	b.mu.Lock()
	if b.runs == nil {
		b.runs, b.of = map[string]int{}, map[string]int{}
	}
	b.runs[id]++
	b.of[content]++
	b.mu.Unlock()
	time.Sleep(e.site.bookTime)
	w.Header().Set("Response-Seal", fmt.Sprintf("%x", sha256.Sum256([]byte(id)))[:24])
	e.mu.Lock()
	fails := e.grey > 0 && rand.Float64() < e.grey
	e.mu.Unlock()
	if fails {
		e.site.rec.add("disruption: server %s ran %s of request %s and fails it with 429, without Not-Executed", e.id, id, short(content))
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	io.WriteString(w, "booked "+short(content))
}

// greyShare is the site's dose of srv_grey: a server fails so many of its requests.
const greyShare = 0.45

// refusedCase: one of eight servers of the booking service fails part of its requests, after
// it has run them. Clients repeat a request of the unsafe route only after a promise.
func refusedCase(rec *record, folder, program string, trouble bool) (int, error) {
	s, err := newSite(rec, folder, program, 4)
	if err != nil {
		return 0, err
	}
	defer s.stopAll()
	var grey *engine
	for i := range 8 {
		if grey, err = s.addEngine("taquilla", zones[i%4]); err != nil {
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
	if trouble {
		grey.mu.Lock()
		grey.grey = greyShare
		grey.mu.Unlock()
		rec.add("disruption: server %s fails %g of its requests", grey.id, greyShare)
	}
	refused, again := 0, 0
	client := &http.Client{Timeout: 2 * time.Second}
	for i := range 150 { // 6 s
		body := fmt.Sprintf("booking-%d", i)
		for attempt := range 2 {
			id := fmt.Sprintf("%016x", rand.Uint64())
			m := s.machines[(i+attempt)%4]
			r, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/once/2f", m.ip, frontPort), strings.NewReader(body))
			r.Host = host
			r.Header.Set("Attempt-Id", id)
			r.Header.Set("Deadline-Ms", "1000")
			r.Header.Set("X-Api-Key", apiKey)
			resp, err := client.Do(r)
			if err != nil {
				rec.add("client: attempt %s of %s: %v", id, body, err)
				break
			}
			resp.Body.Close()
			s.booked.mu.Lock()
			runs := s.booked.runs[id]
			s.booked.mu.Unlock()
			promise := resp.StatusCode == 429 || resp.StatusCode == 503 || resp.StatusCode == 408 || resp.StatusCode == 421
			if !promise {
				break
			}
			rec.add("client: attempt %s of %s at %s gets %d", id, body, m.name, resp.StatusCode)
			if runs > 0 {
				refused++
				rec.add("REFUSED: attempt %s of %s got %d, a promise that it has not run, and has run", id, body, resp.StatusCode)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.booked.mu.Lock()
	for content, n := range s.booked.of {
		if n > 1 {
			again++
			rec.add("%s ran %d times over its client's attempts", short(content), n)
		}
	}
	s.booked.mu.Unlock()
	rec.add("promises of requests that had run: %d; requests that ran again after one: %d", refused, again)
	if refused > 0 {
		return broken, nil
	}
	return held, nil
}
