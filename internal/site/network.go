// Package site runs a whole site in one process: entry nodes, engines and
// services, over loopback or an in-memory network. The demo, the load tool
// and tests use it.
package site

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/memnet"
	"github.com/walnutramp/walnutramp/internal/slownet"
)

// Network joins the site's processes.
type Network interface {
	// Reserve returns a free address for a host in a data hall.
	Reserve(host, hall string) (string, error)
	// Listen opens a reserved address, again after its listener closed.
	Listen(host, address string) (net.Listener, error)
	// Dialer returns how a host connects to others.
	Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error)
}

// Memory is the in-memory network of tests.
type Memory struct {
	*memnet.Network

	mu   sync.Mutex
	next int
}

// NewMemory returns an empty in-memory network.
func NewMemory() *Memory { return &Memory{Network: memnet.New()} }

// Reserve implements Network.
func (m *Memory) Reserve(string, string) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	return fmt.Sprintf("10.0.%d.%d:80", m.next/250, m.next%250+1), nil
}

// Loopback joins processes over 127.0.0.1, with a delay between data halls.
type Loopback struct {
	Between time.Duration // one way, between hosts of different halls
	Client  time.Duration // one way, between callers and the site

	mu   sync.Mutex
	hall map[string]string       // by host, and by address
	held map[string]net.Listener // reserved and not yet asked for
}

// ClientHost is the host name that callers dial from.
const ClientHost = "caller"

// Reserve implements Network.
func (l *Loopback) Reserve(host, hall string) (string, error) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := held.Addr().String()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hall == nil {
		l.hall = map[string]string{}
		l.held = map[string]net.Listener{}
	}
	l.held[address] = held
	l.hall[host] = hall
	l.hall[address] = hall
	return address, nil
}

// listenPatience is how long a port that was closed may stay taken.
const listenPatience = 5 * time.Second

// Listen implements Network.
func (l *Loopback) Listen(_, address string) (net.Listener, error) {
	l.mu.Lock()
	held := l.held[address]
	delete(l.held, address)
	l.mu.Unlock()
	if held != nil {
		return held, nil
	}
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		again, err := net.Listen("tcp", address)
		if err == nil || time.Since(began) > listenPatience {
			return again, err
		}
	}
}

// Dialer implements Network.
func (l *Loopback) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if delay := l.delay(host, address); delay > 0 {
			return slownet.New(c, delay, nil, nil), nil
		}
		return c, nil
	}
}

func (l *Loopback) delay(host, address string) time.Duration {
	if host == ClientHost {
		return l.Client
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hall[host] == l.hall[address] {
		return 0
	}
	return l.Between
}
