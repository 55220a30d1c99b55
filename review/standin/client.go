//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// proxy stands between the clients and one entry. Reset resets connections.
type proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	conns    []net.Conn // of clients, in the order of their arrival
	peers    []net.Conn
}

func newProxy(address, to string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(c net.Conn) {
	d, err := net.Dial("tcp", p.to)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	p.conns, p.peers = append(p.conns, c), append(p.peers, d)
	p.mu.Unlock()
	go func() { io.Copy(d, c); d.Close() }()
	io.Copy(c, d)
	c.Close()
}

// reset resets the connection of a client, on both sides.
func (p *proxy) reset(local string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range p.conns {
		if c.RemoteAddr().String() == local {
			for _, x := range []net.Conn{c, p.peers[i]} {
				x.(*net.TCPConn).SetLinger(0)
				x.Close()
			}
			return true
		}
	}
	return false
}

// streamRequest is a client's request of the streaming route.
type streamRequest struct {
	name    string // in its body
	prefix  string // of the route's path
	system  string // first part of its prompt, shared by all requests of the route
	session string // last part of its prompt, of the client's session
	tokens  int    // of that part
}

func (q streamRequest) body() string { return "request-" + q.name }

func (q streamRequest) path() string { return q.prefix + "2f" }

// parts returns Prompt-Prefix.
func (q streamRequest) parts() string {
	return fmt.Sprintf("%s:200,%s:%d", q.system, q.session, q.tokens)
}

// content is the request as servers know it.
func (q streamRequest) content() string { return "hule930 " + q.path() + " " + q.body() }

// client sends one stream request, and takes it up at the next entry with Last-Event-Id
// when its connection breaks.
type client struct {
	site    *site
	request streamRequest
	entries []string // addresses, in the order of the attempts

	mu       sync.Mutex
	local    string // address of the current connection
	last     int    // event
	foreign  int    // pieces that belong to another request
	wrong    int    // pieces missing or twice
	result   string
	onConn   func(conn net.Conn, id string)
	versions []string // of the software that wrote its events
	firstID  string   // of the attempt that brought the first event
}

func (c *client) state() (local string, last int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.local, c.last
}

// run sends the request until it is answered or its deadline is over.
func (c *client) run() {
	deadline := time.Now().Add(25 * time.Second)
	for i, entry := range c.entries {
		left := time.Until(deadline)
		if left <= 0 {
			break
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		result, err := c.attempt(entry, id, left)
		c.site.rec.add("client %s: attempt %s at %s ended: %s, last event %d, err %v", c.request.name, id, entry, result, c.last, err)
		c.mu.Lock()
		c.result = result
		c.mu.Unlock()
		if result == "complete" {
			return
		}
		if i+1 < len(c.entries) {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// attempt sends the request once.
func (c *client) attempt(entry, id string, left time.Duration) (string, error) {
	conn, err := net.DialTimeout("tcp", entry, time.Second)
	if err != nil {
		return "no connection", err
	}
	defer conn.Close()
	c.mu.Lock()
	c.local = conn.LocalAddr().String()
	last := c.last
	c.mu.Unlock()
	var b strings.Builder
	body := c.request.body()
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m\r\nToken-Usage: %d,780\r\nPrompt-Prefix: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n",
		c.request.path(), host, id, 200+c.request.tokens, c.request.parts(), left.Milliseconds(), apiKey, len(body))
	if last > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\nResumes: %s\r\n", last, c.firstID)
	} else {
		c.firstID = id
	}
	b.WriteString("\r\n" + body)
	c.site.rec.add("client %s: attempt %s sent to %s, %s, prompt %s, Last-Event-Id %d", c.request.name, id, entry, c.request.path(), c.request.parts(), last)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return "broken", err
	}
	if c.onConn != nil {
		c.onConn(conn, id)
	}
	conn.SetReadDeadline(time.Now().Add(left))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "broken", err
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Sprintf("status %d %s", resp.StatusCode, text), nil
	}
	lines := bufio.NewScanner(resp.Body)
	n := 0
	for lines.Scan() {
		line := lines.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ = strconv.Atoi(v)
		}
		if v, ok := strings.CutPrefix(line, "event: "); ok {
			c.sawVersion(v)
		}
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			c.receive(n, v)
		}
	}
	if err := lines.Err(); err != nil {
		return "broken", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last < streamEvents {
		return "complete too early", nil
	}
	return "complete", nil
}

func (c *client) sawVersion(v string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.versions, v) {
		c.versions = append(c.versions, v)
	}
}

func (c *client) receive(n int, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n != c.last+1 {
		c.wrong++
		c.site.rec.add("client %s: event %d follows event %d", c.request.name, n, c.last)
	}
	c.last = n
	if text != piece(c.request.content(), n) {
		if c.foreign++; c.foreign == 1 {
			c.site.rec.add("client %s: event %d is not of its own answer: %q", c.request.name, n, text)
		}
	}
}
