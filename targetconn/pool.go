package targetconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// DialFunc opens a connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config sets how a Pool works.
type Config struct {
	Dial           DialFunc
	DialTimeout    time.Duration
	Dialed         func(e Endpoint, took time.Duration) // a connection was opened; nil for nobody
	Kept           func(e Endpoint, until time.Time)    // a connection is kept, or none any more where until is zero; nil for nobody
	IdleLimit      time.Duration                        // longest rest of a kept connection
	IdleMargin     time.Duration                        // taken off the rest that the target announces
	MaxIdle        int                                  // kept connections to one target
	HeadLimit      int64                                // bytes of an answer's head
	IdentityHeader string                               // repeats the request's identity in its answer
}

// Option sets a field of Config.
type Option func(*Config)

// WithDial sets how connections are opened.
func WithDial(dial DialFunc) Option { return func(c *Config) { c.Dial = dial } }

// WithDialed sets who is told how long a new connection took to open, which is the
// way to the target and back.
func WithDialed(dialed func(e Endpoint, took time.Duration)) Option {
	return func(c *Config) { c.Dialed = dialed }
}

// WithKept sets who is told until when a connection is kept at an endpoint; zero for none.
// It must not call the pool.
func WithKept(kept func(e Endpoint, until time.Time)) Option {
	return func(c *Config) { c.Kept = kept }
}

// WithIdentityHeader names the header that repeats a request's identity.
func WithIdentityHeader(name string) Option { return func(c *Config) { c.IdentityHeader = name } }

// Keep-alive probes find a target's machine that has fallen silent while an
// answer is awaited; the kernel counts their times in whole seconds, so that
// one unanswered probe, after two seconds, is the earliest sign it can give.
const (
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 1
)

func defaultConfig() Config {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return Config{
		Dial:           dialer.DialContext,
		DialTimeout:    250 * time.Millisecond,
		IdleLimit:      30 * time.Second,
		IdleMargin:     500 * time.Millisecond,
		MaxIdle:        8,
		HeadLimit:      64 << 10,
		IdentityHeader: "X-Request-Id",
	}
}

// Pool keeps connections to targets.
type Pool struct {
	cfg    Config
	dialed atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn // by endpoint ID, newest last
}

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	cfg := defaultConfig()
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Pool{cfg: cfg, idle: map[string][]*conn{}}
}

// Dialed returns how many connections were opened.
func (p *Pool) Dialed() int64 { return p.dialed.Load() }

// Forget closes the kept connections of a target that is gone.
func (p *Pool) Forget(id string) {
	p.mu.Lock()
	conns := p.idle[id]
	delete(p.idle, id)
	p.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// Close closes every kept connection.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, conns := range idle {
		for _, c := range conns {
			c.close()
		}
	}
}

// take returns a kept connection that is still good, or nil.
func (p *Pool) take(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		conns := p.idle[id]
		if len(conns) == 0 {
			return nil
		}
		c := conns[len(conns)-1]
		p.setIdle(c.endpoint, conns[:len(conns)-1])
		if c.begin(uptime.Now()) {
			return c
		}
		c.close()
	}
}

// put keeps a connection for the next exchange.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.endpoint.ID]) >= p.cfg.MaxIdle || !c.rest() {
		c.close()
		return
	}
	p.setIdle(c.endpoint, append(p.idle[c.endpoint.ID], c))
}

// setIdle sets the kept connections of an endpoint, newest last. The caller holds the
// mutex.
func (p *Pool) setIdle(e Endpoint, conns []*conn) {
	var until time.Time
	if len(conns) == 0 {
		delete(p.idle, e.ID)
	} else {
		p.idle[e.ID] = conns
		until = conns[len(conns)-1].goodUntil()
	}
	if p.cfg.Kept != nil {
		p.cfg.Kept(e, until)
	}
}

// drop takes a connection out that ended while it rested.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.endpoint.ID]
	for i, other := range conns {
		if other == c {
			p.setIdle(c.endpoint, append(conns[:i:i], conns[i+1:]...))
			return
		}
	}
}

// Dial opens a connection to an address as the pool does, for others to use.
func (p *Pool) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.dialed.Add(1)
	return p.cfg.Dial(ctx, network, address)
}

// open dials a new connection.
func (p *Pool) open(ctx context.Context, e Endpoint) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	p.dialed.Add(1)
	began := time.Now()
	raw, err := p.cfg.Dial(ctx, "tcp", e.Address)
	if err != nil {
		return nil, err
	}
	if p.cfg.Dialed != nil {
		p.cfg.Dialed(e, time.Since(began))
	}
	return newConn(p, e, raw), nil
}
