package targetconn

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"golang.org/x/sys/unix"
)

// DialFunc opens a connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a Pool.
type Config struct {
	Dial           DialFunc
	DialTimeout    time.Duration
	OnDial         func(e Endpoint, took time.Duration) // called when a connection was opened; may be nil
	OnKept         func(e Endpoint, until time.Time)    // see WithOnKept; may be nil
	IdleLimit      time.Duration                        // maximum idle time of a connection
	IdleMargin     time.Duration                        // subtracted from the idle timeout that the target announces
	MaxIdle        int                                  // idle connections per target
	HeadLimit      int64                                // maximum bytes of a response header
	IdentityHeader string                               // response header that echoes the request ID; responses with another one are discarded
}

// Option sets a field of Config.
type Option func(*Config)

// WithDial sets the function that opens connections.
func WithDial(dial DialFunc) Option { return func(c *Config) { c.Dial = dial } }

// WithOnDial sets a callback that receives the time taken to open a connection, which is
// about one round trip to the target.
func WithOnDial(onDial func(e Endpoint, took time.Duration)) Option {
	return func(c *Config) { c.OnDial = onDial }
}

// WithOnKept sets a callback that receives the time until which an idle connection to an
// endpoint can be used, zero for none, whenever the idle connections change, except by
// Close and CloseIdle. It must not call the pool.
func WithOnKept(onKept func(e Endpoint, until time.Time)) Option {
	return func(c *Config) { c.OnKept = onKept }
}

// WithIdentityHeader sets the response header that echoes the request ID.
func WithIdentityHeader(name string) Option { return func(c *Config) { c.IdentityHeader = name } }

// TCP keep-alive detects an unreachable host while waiting for a response. The kernel
// takes whole seconds, so detection takes at least two: one idle, one unanswered probe.
const (
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 1
)

// NewDialer returns the dialer of a pool. A source is the local address of connections; nil
// leaves it to the system.
func NewDialer(source net.IP) *net.Dialer {
	d := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	if source != nil {
		d.LocalAddr = &net.TCPAddr{IP: source}
		d.Control = bindWithoutPort
	}
	return d
}

// bindWithoutPort makes the system choose the local port when it connects, so that
// connections to different targets may share one.
func bindWithoutPort(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
	return errors.Join(controlErr, err)
}

func defaultConfig() Config {
	return Config{
		Dial:           NewDialer(nil).DialContext,
		DialTimeout:    250 * time.Millisecond,
		IdleLimit:      30 * time.Second,
		IdleMargin:     500 * time.Millisecond,
		MaxIdle:        8,
		HeadLimit:      64 << 10,
		IdentityHeader: "X-Request-Id",
	}
}

// Pool is a pool of connections to targets.
type Pool struct {
	cfg       Config
	dialCount atomic.Int64

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

// Dialed returns the number of dials, failed ones included.
func (p *Pool) Dialed() int64 { return p.dialCount.Load() }

// CloseIdle closes the idle connections to a target that is gone, by Endpoint.ID. Those
// in use still return to the pool.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	conns := p.idle[id]
	delete(p.idle, id)
	p.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// Close closes all idle connections. Those in use still return to the pool.
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

// acquire returns the newest usable idle connection for a request, or nil. Two requests
// without identity don't follow each other on a connection, as a surplus response to the
// first could not be distinguished from the response to the second.
func (p *Pool) acquire(id string, r *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		conns := p.idle[id]
		i := len(conns) - 1
		for i >= 0 && r.Identity == "" && conns[i].unidentified {
			i--
		}
		if i < 0 {
			return nil
		}
		c := conns[i]
		p.setIdle(c.endpoint, slices.Delete(conns, i, i+1))
		if c.acquire(uptime.Now()) {
			return c
		}
		c.close()
	}
}

// release returns a connection to the pool, or closes it.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.endpoint.ID]) >= p.cfg.MaxIdle || !c.release() {
		c.close()
		return
	}
	p.setIdle(c.endpoint, append(p.idle[c.endpoint.ID], c))
}

// setIdle sets the idle connections of an endpoint, newest last. The caller holds the
// mutex.
func (p *Pool) setIdle(e Endpoint, conns []*conn) {
	var until time.Time
	if len(conns) == 0 {
		delete(p.idle, e.ID)
	} else {
		p.idle[e.ID] = conns
		until = conns[len(conns)-1].idleDeadline()
	}
	if p.cfg.OnKept != nil {
		p.cfg.OnKept(e, until)
	}
}

// remove removes an idle connection that was closed.
func (p *Pool) remove(c *conn) {
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

// Dial opens a connection with the pool's dial function; it does not enter the pool.
// Dialed counts it, but DialTimeout and OnDial do not apply.
func (p *Pool) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.dialCount.Add(1)
	return p.cfg.Dial(ctx, network, address)
}

// open dials a new connection.
func (p *Pool) open(ctx context.Context, e Endpoint) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	p.dialCount.Add(1)
	began := time.Now()
	raw, err := p.cfg.Dial(ctx, "tcp", e.Address)
	if err != nil {
		return nil, err
	}
	if p.cfg.OnDial != nil {
		p.cfg.OnDial(e, time.Since(began))
	}
	return newConn(p, e, raw), nil
}
