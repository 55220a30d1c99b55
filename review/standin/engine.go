//go:build review

package main

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of a model server.
const (
	handleS    = 4.0                    // how long a copy is held after its last part
	eventPause = 60 * time.Millisecond  // between two events, unless the site has another
	readPrompt = 700 * time.Millisecond // an unread prompt of about 5,600 tokens
	moveTime   = 50 * time.Millisecond  // of a copy on order
	copyPause  = 200 * time.Millisecond // a run's memory goes to its copy some times a second
)

// memory is the KV cache of a run: what was read of a request's prompt and made since.
type memory struct {
	run     string // Attempt-Id of the run
	content string // the request that was read: tenant, path, body
	events  int    // made so far
	until   time.Time
}

// engine is a server of a service. It serves streams as PROTOCOL.md says: Attempt-Id,
// Expect-Instance, Last-Event-Id, Kv-Backup and Kv-From, among others.
type engine struct {
	site    *site
	service string
	version string // of its software, as listed
	serves  string // of its software
	zone    string
	id      string
	address string
	server  *http.Server

	mu       sync.Mutex
	gone     bool
	goneAt   time.Time
	patient  bool               // doesn't drop a request when its connection closes; few servers are so
	grey     float64            // fails so many of its requests
	slow     float64            // work takes so many times as long
	runs     map[string]*memory // by Attempt-Id
	copies   map[string]*memory // by Attempt-Id, held for other servers
	handles  map[string]string  // of copies made on order, by run and holder
	garbled  int                // of these, followed by a surplus answer
	faulty   bool               // may give surplus answers
	garbles  bool               // does so now
	onGarble func()             // called when it has given one
}

// connKey is the key of a connection's lastMove in the context of its requests.
type connKey struct{}

// lastMove is the last answer to an order for a copy on one connection.
type lastMove struct {
	run    string
	target string
	answer []byte
}

func newEngine(s *site, service, zone, id string, n int) (*engine, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", s.base, 100+n%90))
	if err != nil {
		return nil, err
	}
	e := &engine{site: s, slow: 1, version: "v1", serves: "v1", service: service, zone: zone, id: id, address: l.Addr().String(), runs: map[string]*memory{}, copies: map[string]*memory{}, handles: map[string]string{}}
	e.server = &http.Server{Handler: e, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, &lastMove{})
	}}
	go e.server.Serve(l)
	return e, nil
}

func (e *engine) close() {
	e.mu.Lock()
	e.gone, e.goneAt = true, time.Now()
	e.mu.Unlock()
	e.server.Close()
}

// listTime is how long a crashed server stays on the platform's list.
const listTime = time.Second

func (e *engine) listed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.gone || time.Since(e.goneAt) < listTime
}

func (e *engine) running() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.gone
}

func (e *engine) entry() map[string]any {
	m := map[string]any{"id": e.id, "service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": 64, "state": "ready", "cold_remaining_ms": 0}
	if e.service != "taquilla" {
		m["stage"], m["models"] = "unified", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return m
}

// load returns the value of Server-Load.
func (e *engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,0,64", len(e.runs))
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Server-Load", e.load())
	switch {
	case r.URL.Path == "/health":
		h.Set("Instance-Id", e.id)
		return
	case r.URL.Path == "/-/report":
		e.report(w)
		return
	case r.URL.Path == "/-/kv-move":
		e.move(w, r)
		return
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("Attempt-Id", id)
	if x := r.Header.Get("Expect-Instance"); x != "" && x != e.id {
		h.Set("Not-Executed", "1")
		h.Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	content := r.Header.Get("Tenant-Id") + " " + r.URL.RequestURI() + " " + string(body)
	if e.service == "taquilla" {
		e.book(w, id, content)
		return
	}
	e.stream(w, r, id, content)
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	n := len(e.runs)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"busy": false, "sequence": 0, "waiting": 0, "running": n, "kv_used": n * 6000, "kv_total": 88000, "handles": 0})
}

// move copies a run's memory to another server on order.
func (e *engine) move(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID     string `json:"id"`
		Target string `json:"target_version"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(moveTime)
	holder := e.site.engineAt(order.Target)
	e.mu.Lock()
	run := e.runs[order.ID]
	if run == nil || holder == nil {
		e.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	m := *run
	handle := e.handles[order.ID+" "+order.Target] // a repeat call brings the same handle
	if handle == "" {
		handle = fmt.Sprintf("h%d", len(e.handles)+1)
		e.handles[order.ID+" "+order.Target] = handle
	}
	name := e.address + "/" + handle
	answer, _ := json.Marshal(map[string]any{"handle": handle, "made": m.events})
	last := r.Context().Value(connKey{}).(*lastMove)
	before := *last
	last.run, last.target, last.answer = order.ID, order.Target, answer
	surplus := e.garbles && before.answer != nil && before.run != order.ID && before.target == order.Target
	e.mu.Unlock()
	surplus = e.site.mayGarble(e, surplus)
	holder.hold(name, m)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	if !surplus {
		w.Write(answer)
		return
	}
	// The answer to the order before comes a second time, in the place where this one is due.
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for _, a := range [][]byte{before.answer, answer} {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(a), a)
		time.Sleep(20 * time.Millisecond)
	}
	e.site.rec.add("disruption: server %s gives the answer to the order for run %s a second time, %s, in the place of that for run %s", e.id, before.run, before.answer, order.ID)
	e.onGarble()
	io.Copy(io.Discard, conn)
}

// hold keeps a copy of a run's memory for another server.
func (e *engine) hold(name string, m memory) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m.until = time.Now().Add(time.Duration(handleS * float64(time.Second)))
	e.copies[name] = &m
}

// drop gives a copy up.
func (e *engine) drop(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.copies, name)
}

// take returns the copy that Kv-From names, or nil. It is held on until the run has ended
// well, or for handle_s after its last part.
func (e *engine) take(from string) *memory {
	name := from // of a copy made on order
	if address, run, _ := strings.Cut(from, "/"); address == e.address {
		name = run // of a copy that grew with the run
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.copies[name]
	if m == nil || time.Now().After(m.until) {
		return nil
	}
	return m
}

// short names a request in the record.
func short(content string) string {
	return content[strings.LastIndex(content, " ")+1:]
}

// piece is the text of an event: tokens that the model makes from the memory of a request.
func piece(content string, n int) string {
	sum := sha256.Sum256([]byte(content + " " + strconv.Itoa(n)))
	return fmt.Sprintf("%s token %d %x", short(content), n, sum[:4])
}

// streamEvents is the number of events of an answer.
const streamEvents = 130

// stream serves a request of a streaming route.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id, content string) {
	rec := e.site.rec
	if to := e.site.serviceOf(r.URL.Path); to != "" && to != e.service {
		e.site.misrouted(e, id, content, to)
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	m := &memory{run: id, content: content}
	if from := r.Header.Get("Kv-From"); from != "" {
		copied := e.take(from)
		if copied == nil {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			rec.add("server %s: no copy %s for %s, 503", e.id, from, id)
			return
		}
		// The run goes on from the memory that the system named.
		m.content = copied.content
		rec.add("server %s: run %s of request %s goes on from memory %s, which holds request %s", e.id, id, short(content), from, short(copied.content))
		if copied.content != content {
			e.site.foreignMemory(e, id, content, from, copied.content)
		}
	} else {
		rec.add("server %s: run %s of request %s begins after event %d", e.id, id, short(content), last)
		if !sleep(r, readPrompt) {
			return
		}
	}
	e.mu.Lock()
	e.runs[id] = m
	e.mu.Unlock()
	e.site.mayGarble(e, false)
	defer e.site.work.begin(e, id, rec)()
	defer func() {
		e.mu.Lock()
		delete(e.runs, id)
		e.mu.Unlock()
	}()
	backup := r.Header.Get("Kv-Backup")
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Seal", fmt.Sprintf("%x", sha256.Sum256([]byte(id)))[:24])
	control := http.NewResponseController(w)
	var copied time.Time
	left := false // the connection has closed
	for n := last + 1; n <= streamEvents; n++ {
		if !left {
			_, err := fmt.Fprintf(w, "id: %d\nevent: %s\ndata: %s\n\n", n, e.serves, piece(m.content, n))
			left = err != nil || control.Flush() != nil
		}
		e.mu.Lock()
		m.events = n
		snapshot := *m
		patient, pause := e.patient, time.Duration(float64(e.site.eventPause)*e.slow)
		e.mu.Unlock()
		if backup != "" && time.Since(copied) >= copyPause {
			if holder := e.site.engineAt(backup); holder != nil {
				holder.hold(id, snapshot)
			}
			copied = time.Now()
		}
		if left {
			time.Sleep(pause)
		} else if !sleep(r, pause) {
			rec.add("server %s: the connection of run %s closes after event %d; the server works on: %v", e.id, id, n, patient)
			if !patient {
				return
			}
			left = true
		}
	}
	if holder := e.site.engineAt(backup); holder != nil {
		holder.drop(id)
	}
}

// sleep waits; false if the connection of the request closes meanwhile.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
