package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/internal/respcheck"
	"github.com/walnutramp/walnutramp/internal/wholeconn"
)

// Connection settings for targets.
const (
	targetDialTimeout = 500 * time.Millisecond
	idlePerTarget     = 32
	idleTimeout       = 60 * time.Second
)

// DialFunc opens a connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool provides the clients of targets.
type Pool struct {
	shared    *respcheck.Transport // for engines and calls that may be retried
	perCall   *respcheck.Transport // opens a connection for each call
	dial      DialFunc
	client    *Client
	cooldowns *cooldownTable

	mu      sync.Mutex
	engines map[string]Engine
}

// NewPool returns a pool that connects with dial.
func NewPool(dial DialFunc) *Pool {
	bounded := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, targetDialTimeout)
		defer cancel()
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, &NotSentError{Err: err}
		}
		return wholeconn.New(c), nil
	}
	shared := respcheck.NewTransport(&http.Transport{
		DialContext:         bounded,
		MaxIdleConnsPerHost: idlePerTarget,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
	perCall := respcheck.NewTransport(&http.Transport{DialContext: bounded, DisableKeepAlives: true, DisableCompression: true})
	cooldowns := &cooldownTable{until: map[string]time.Time{}}
	return &Pool{
		shared: shared, perCall: perCall, dial: bounded, cooldowns: cooldowns,
		client: NewClient(cooldownTransport{shared, cooldowns}, shared), engines: map[string]Engine{},
	}
}

// CooldownLeft returns how much longer this node must not send requests to a target; 0 or
// less if it may.
func (p *Pool) CooldownLeft(t bundle.Target) time.Duration { return p.cooldowns.left(t.Address) }

// Engine returns the adapter of an engine target.
func (p *Pool) Engine(t bundle.Target) Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[t.Address]
	if e == nil {
		e = NewOpenAI(p.client, t.Address)
		p.engines[t.Address] = e
	}
	return e
}

// Orders returns the client for sending orders to a target.
func (p *Pool) Orders(t bundle.Target) Orders { return NewOpenAI(p.client, t.Address) }

// Service returns the client for a service target. Once requests a client for calls that
// must not be sent twice.
func (p *Pool) Service(t bundle.Target, once bool) *Service {
	if once {
		return NewService(cooldownTransport{p.perCall, p.cooldowns}, t.Address)
	}
	return NewService(cooldownTransport{p.shared, p.cooldowns}, t.Address)
}

// Close closes idle connections.
func (p *Pool) Close() {
	p.shared.CloseIdleConnections()
	p.perCall.CloseIdleConnections()
}
