//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// What the clients know of the site.
const (
	host      = "ficu95.example"
	apiKey    = "n2ctnfzs989anu6wsjnb"
	tenant    = "hule930"
	objective = 4500 * time.Millisecond
	deadline  = 25 * time.Second
	// silence is after which gap a client gives a stream up: the longest of two seconds, four
	// times the objective and eight times the pause of 700 ms.
	silence = 4 * objective
)

// draft is a request of a client for a stream: the same over all its attempts.
type draft struct {
	name string // tells it from all others
	path string
	body string
	part string // the last part of its prompt
	sent time.Time
	last int    // ID of the last event
	text string // of all events
}

// attempt is what a client saw of one attempt.
type attempt struct {
	id       string
	status   int
	seal     string
	complete bool
	silent   bool
	retry    time.Duration // Retry-After
	err      error
}

// ask sends one attempt over a new connection to a daemon, and reads its answer.
func (s *site) ask(n *node, d *draft) (a attempt) {
	a.id = fmt.Sprintf("%016x", rand.Uint64())
	s.servers.mu.Lock()
	s.servers.logical[a.id] = d.name
	s.servers.mu.Unlock()
	defer func() {
		s.record.line("client: attempt %s of request %s via %s ends: status %d, last event %d, complete %v, silent %v, %v", a.id, d.name, n.name, a.status, d.last, a.complete, a.silent, a.err)
	}()
	left := deadline - time.Since(d.sent)
	s.record.line("client: request %s sent as attempt %s via %s, Last-Event-Id %d, Deadline-Ms %d", d.name, a.id, n.name, d.last, left.Milliseconds())
	c, err := net.DialTimeout("tcp", n.link.address(), time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m\r\nToken-Usage: 8200,780\r\nPrompt-Prefix: 5c1e07a2:200,%s:8000\r\nLength-Hint: 780\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n",
		d.path, host, a.id, d.part, left.Milliseconds(), apiKey, len(d.body))
	if d.last > 0 {
		head += fmt.Sprintf("Last-Event-Id: %d\r\n", d.last)
	}
	if _, err := io.WriteString(c, head+"\r\n"+d.body); err != nil {
		a.err = err
		return a
	}
	c.SetReadDeadline(time.Now().Add(min(silence, left)))
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err, a.silent = err, isTimeout(err)
		return a
	}
	a.status, a.seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retry = time.Duration(seconds * float64(time.Second))
	}
	if a.status != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		a.err = fmt.Errorf("%s", text)
		return a
	}
	lines := bufio.NewReader(resp.Body)
	id, event := 0, ""
	for {
		c.SetReadDeadline(time.Now().Add(min(silence, deadline-time.Since(d.sent))))
		line, err := lines.ReadString('\n')
		if err != nil {
			a.complete, a.silent = err == io.EOF, isTimeout(err)
			if err != io.EOF {
				a.err = err
			}
			return a
		}
		event += line
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(strings.TrimSpace(value))
		}
		if line == "\n" {
			if id != d.last+1 {
				s.servers.broken("ORDER: request %s got event %d after event %d in attempt %s", d.name, id, d.last, a.id)
			}
			d.last, d.text, event = id, d.text+event, ""
		}
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// finish sends a draft, and takes it up again where it was broken off, once: these clients
// retry once, at another daemon.
func (s *site) finish(d *draft, first, second *node) {
	d.sent = time.Now()
	a := s.ask(first, d)
	if a.complete || time.Since(d.sent) > deadline-time.Second {
		return
	}
	if a.retry > 0 {
		time.Sleep(min(a.retry, (deadline-time.Since(d.sent))/3))
	}
	s.ask(second, d)
}
