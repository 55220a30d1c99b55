//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the servers.
const (
	prefill  = 500 * time.Millisecond // of a prompt
	eventGap = 33 * time.Millisecond  // between two events
	events   = 130                    // of a stream
	handleS  = 4 * time.Second        // for which a copy is kept
)

// fleet is all servers, and the platform's list of them.
type fleet struct {
	site *site

	mu        sync.Mutex
	all       []*server
	byAddress map[string]*server
	logical   map[string]string // the request of which an attempt is one, by Attempt-Id
	breaks    []string          // of rules
	serial    int
	gap       time.Duration      // between two events
	working   map[string][]*work // by request
}

// work is one server's work on a request.
type work struct {
	server  *server
	attempt string
}

// twiceLimit is how long a server may still work on a request that goes on at another one.
const twiceLimit = 400 * time.Millisecond

// begin notes that a server works on a request. If another server, which began before, still
// works on it twiceLimit later, TWICE is broken.
func (f *fleet) begin(s *server, attempt, request string) (end func()) {
	own := &work{s, attempt}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, before := range f.working[request] {
		if before.server != s {
			time.AfterFunc(twiceLimit, func() { f.checkTwice(before, own, request) })
		}
	}
	f.working[request] = append(f.working[request], own)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.working[request] = slices.DeleteFunc(f.working[request], func(w *work) bool { return w == own })
	}
}

func (f *fleet) checkTwice(before, next *work, request string) {
	f.mu.Lock()
	still := slices.Contains(f.working[request], before)
	f.mu.Unlock()
	if still {
		f.broken("TWICE: request %s went on at server %s (attempt %s) %v ago, and server %s still works on it (attempt %s)", request, next.server.id, next.attempt, twiceLimit, before.server.id, before.attempt)
	}
}

// broken records that a rule was broken.
func (f *fleet) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.mu.Lock()
	f.breaks = append(f.breaks, text)
	f.mu.Unlock()
	f.site.record.line("BROKEN %s", text)
}

// request returns the request of which an attempt is one.
func (f *fleet) request(attempt string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logical[attempt]
}

// memory is what a model server keeps of a run: whose it is, and how many events it has made.
type memory struct {
	attempt string
	made    int
	until   time.Time // zero while the run goes on
	stopped bool      // by an order with `last`
}

// server is a model server, or with engine unset a server of a plain service.
type server struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	address string
	engine  bool
	l       net.Listener

	mu      sync.Mutex
	slow    float64            // factor of its work; 0 for 1
	patient bool               // does not drop a request when its connection closes, as few do
	copies  map[string]*memory // by name: of other servers' runs
	runs    map[string]*memory // by Attempt-Id: under way here
	conns   map[net.Conn]bool
}

// add starts servers of a service, spread over the zones.
func (f *fleet) add(service string, engine bool, count int) error {
	for i := range count {
		l, err := net.Listen("tcp", f.site.subnet+"200:0")
		if err != nil {
			return err
		}
		f.mu.Lock()
		f.serial++
		s := &server{fleet: f, id: fmt.Sprintf("i-%08x", 0x5000+f.serial), service: service, zone: f.site.zones[i%len(f.site.zones)], address: l.Addr().String(), engine: engine, l: l,
			copies: map[string]*memory{}, runs: map[string]*memory{}, conns: map[net.Conn]bool{}}
		f.all, f.byAddress[s.address] = append(f.all, s), s
		f.mu.Unlock()
		go s.serve()
	}
	return nil
}

// list answers GET /instances.
func (f *fleet) list(w http.ResponseWriter, r *http.Request) {
	type model struct {
		Name     string   `json:"name"`
		Version  int      `json:"version"`
		Adapters []string `json:"adapters"`
	}
	type instance struct {
		Service string  `json:"service"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Version string  `json:"version"`
		Slots   int     `json:"slots"`
		State   string  `json:"state"`
		Cold    int     `json:"cold_remaining_ms"`
		Stage   string  `json:"stage"`
		Models  []model `json:"models"`
		ID      string  `json:"id"`
	}
	zone := r.URL.Query().Get("zone")
	list := []instance{}
	f.mu.Lock()
	for _, s := range f.all {
		if zone == "" || zone == s.zone {
			i := instance{Service: s.service, Address: s.address, Zone: s.zone, Version: "v1", Slots: 6, State: "ready", ID: s.id}
			if s.engine {
				i.Slots, i.Stage, i.Models = 64, "unified", []model{{Name: "m", Version: 1, Adapters: []string{}}}
			}
			list = append(list, i)
		}
	}
	f.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"instances": list, "next_token": nil})
}

func (s *server) serve() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *server) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !s.answer(c, r, body) {
			return
		}
	}
}

// respond writes a whole answer.
func respond(c net.Conn, status int, attempt, body string, headers ...string) bool {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	if attempt != "" {
		text += "Attempt-Id: " + attempt + "\r\n"
	}
	for _, h := range headers {
		text += h + "\r\n"
	}
	_, err := io.WriteString(c, text+"\r\n"+body)
	return err == nil
}

func (s *server) answer(c net.Conn, r *http.Request, body []byte) bool {
	attempt := r.Header.Get("Attempt-Id")
	switch {
	case r.URL.Path == "/health":
		return respond(c, 200, "", "", "Instance-Id: "+s.id)
	case strings.HasPrefix(r.URL.Path, "/-/kv-move"):
		return s.move(c, body)
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		return respond(c, 200, "", "")
	case strings.HasPrefix(r.URL.Path, "/-/"):
		return respond(c, 404, "", "")
	}
	if e := r.Header.Get("Expect-Instance"); e != "" && e != s.id {
		return respond(c, 421, attempt, "", "Instance-Id: "+s.id, "Not-Executed: 1")
	}
	if !s.engine {
		time.Sleep(30 * time.Millisecond)
		s.fleet.site.record.line("server %s runs %s (%s)", s.id, attempt, s.fleet.request(attempt))
		return respond(c, 200, attempt, "done "+s.fleet.request(attempt), "Response-Seal: seal."+attempt, "Server-Load: 1,0,6")
	}
	return s.stream(c, r, attempt)
}

// move copies the memory of a run to another server (POST /-/kv-move).
func (s *server) move(c net.Conn, body []byte) bool {
	var order struct {
		ID     string `json:"id"`
		Target string `json:"target_version"`
		Last   any    `json:"last"`
	}
	if json.Unmarshal(body, &order) != nil {
		return respond(c, 400, "", "")
	}
	s.mu.Lock()
	run := s.runs[order.ID]
	s.mu.Unlock()
	s.fleet.mu.Lock()
	target := s.fleet.byAddress[order.Target]
	s.fleet.serial++
	handle := fmt.Sprintf("h%d", s.fleet.serial)
	s.fleet.mu.Unlock()
	if run == nil {
		return respond(c, 404, "", "")
	}
	if order.Last != nil && order.Last != false {
		s.fleet.site.record.line("server %s stops %s, by order", s.id, run.attempt)
		s.mu.Lock()
		run.stopped = true
		s.mu.Unlock()
	}
	if target == nil {
		return respond(c, 503, "", "")
	}
	target.keep(s.address+"/"+handle, &memory{attempt: run.attempt, made: run.made, until: time.Now().Add(handleS)})
	return respond(c, 200, "", fmt.Sprintf(`{"handle":%q,"made":%d}`, handle, run.made), "Content-Type: application/json")
}

func (s *server) keep(name string, m *memory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[name] = m
}

// take returns the memory that Kv-From names, once.
func (s *server) take(name string) *memory {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.copies[name]
	if m == nil || !m.until.IsZero() && time.Now().After(m.until) {
		return nil
	}
	delete(s.copies, name)
	return m
}

// stream runs a generation. What it writes depends on the run that began it, as it is drawn by
// chance.
func (s *server) stream(c net.Conn, r *http.Request, attempt string) bool {
	record, request := s.fleet.site.record, s.fleet.request(attempt)
	defer s.fleet.begin(s, attempt, request)()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	from := r.Header.Get("Kv-From")
	if from != "" {
		m := s.take(from)
		if m == nil {
			record.line("server %s has no copy %s for %s (%s)", s.id, from, attempt, request)
			return respond(c, 503, attempt, "", "Not-Executed: 1")
		}
		if owner := s.fleet.request(m.attempt); owner != request {
			s.fleet.broken("MIXED: at %s, attempt %s of request %s (Last-Event-Id %d) continues from the memory %s, which is of attempt %s of request %s (%d events made)", s.id, attempt, request, last, from, m.attempt, owner, m.made)
		}
		time.Sleep(10 * time.Millisecond)
	} else {
		time.Sleep(prefill)
	}
	run := &memory{attempt: attempt, made: last}
	s.mu.Lock()
	s.runs[attempt] = run
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.runs, attempt)
		s.mu.Unlock()
	}()
	var backup *server
	name := ""
	if to := r.Header.Get("Kv-Backup"); to != "" {
		s.fleet.mu.Lock()
		backup = s.fleet.byAddress[to]
		s.fleet.mu.Unlock()
		name = to + "/" + attempt
	}
	record.line("server %s runs %s (request %s) from event %d, Kv-From %q, Kv-Backup %q", s.id, attempt, request, last+1, from, r.Header.Get("Kv-Backup"))
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nServer-Load: 1,0,64\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, attempt); err != nil {
		return false
	}
	shadow := &memory{attempt: attempt}
	if backup != nil {
		backup.keep(name, shadow)
	}
	closed := false
	for n := last + 1; n <= events; n++ {
		s.mu.Lock()
		pause, patient, stopped := s.fleet.gap, s.patient, run.stopped
		if s.slow > 0 {
			pause = time.Duration(float64(pause) * s.slow)
		}
		s.mu.Unlock()
		if stopped {
			s.endBackup(backup, shadow, name, false)
			return false
		}
		text := fmt.Sprintf("id: %d\ndata: word %d of %s\n\n", n, n, request)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil && !closed {
			closed = true
			if !patient {
				record.line("server %s drops %s at event %d: connection closed", s.id, attempt, n)
				s.endBackup(backup, shadow, name, false)
				return false
			}
			record.line("server %s works on at %s from event %d: connection closed", s.id, attempt, n)
		}
		s.mu.Lock()
		run.made, shadow.made = n, n
		s.mu.Unlock()
		time.Sleep(pause)
	}
	s.endBackup(backup, shadow, name, true)
	record.line("server %s ends %s", s.id, attempt)
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// endBackup frees the copy of a run that has ended well, and keeps another one for a while.
func (s *server) endBackup(backup *server, shadow *memory, name string, well bool) {
	if backup == nil {
		return
	}
	backup.mu.Lock()
	defer backup.mu.Unlock()
	if well {
		delete(backup.copies, name)
		return
	}
	shadow.until = time.Now().Add(handleS)
}
