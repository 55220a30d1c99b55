package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/bundle"
)

// Connection settings towards targets.
const (
	targetDialTimeout = 500 * time.Millisecond
	idlePerTarget     = 32
	idleTime          = 60 * time.Second
)

// DialFunc opens a connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool opens and keeps the clients of targets by address.
type Pool struct {
	shared *http.Transport // for engines and calls that may be repeated
	single *http.Transport // a connection for each call
	client *Client
	rests  *rests

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
		return c, nil
	}
	shared := &http.Transport{
		DialContext:         bounded,
		MaxIdleConnsPerHost: idlePerTarget,
		IdleConnTimeout:     idleTime,
		DisableCompression:  true,
	}
	single := &http.Transport{DialContext: bounded, DisableKeepAlives: true, DisableCompression: true}
	kept := &rests{until: map[string]time.Time{}}
	return &Pool{
		shared: shared, single: single, rests: kept,
		client: NewClient(restTransport{shared, kept}, shared), engines: map[string]Engine{},
	}
}

// RestLeft returns for how long a target still wants nothing from this node, 0 or
// less for one that wants requests.
func (p *Pool) RestLeft(t bundle.Target) time.Duration { return p.rests.left(t.Address) }

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

// Orders returns the way to give a target orders.
func (p *Pool) Orders(t bundle.Target) Orders { return NewOpenAI(p.client, t.Address) }

// Service returns the client of a service target; once says that its calls
// may not be repeated.
func (p *Pool) Service(t bundle.Target, once bool) *Service {
	if once {
		return NewService(restTransport{p.single, p.rests}, t.Address)
	}
	return NewService(restTransport{p.shared, p.rests}, t.Address)
}

// Close drops idle connections.
func (p *Pool) Close() {
	p.shared.CloseIdleConnections()
	p.single.CloseIdleConnections()
}
