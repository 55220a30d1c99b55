// Package site runs a complete site in one process for the demo, the load tool and
// tests: nodes, stand-in engines and services, over loopback or an in-memory
// network.
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

// Network connects the nodes, targets and clients of a site.
type Network interface {
	// Reserve returns a free address for a host in a data hall.
	Reserve(host, hall string) (string, error)
	// Listen listens on a reserved address. It may be called again after the
	// listener was closed.
	Listen(host, address string) (net.Listener, error)
	// Dialer returns the dial function of a host.
	Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error)
}

// Memory is a Network in memory.
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

// Loopback is a Network over 127.0.0.1 with simulated latency.
type Loopback struct {
	Between time.Duration // one-way latency between data halls
	Client  time.Duration // one-way latency between clients and the site

	mu       sync.Mutex
	hall     map[string]string       // by host, and by address
	reserved map[string]net.Listener // reserved addresses that have not been listened on
}

// ClientHost is the host name of clients.
const ClientHost = "caller"

// Reserve implements Network.
func (l *Loopback) Reserve(host, hall string) (string, error) {
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := reserved.Addr().String()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hall == nil {
		l.hall = map[string]string{}
		l.reserved = map[string]net.Listener{}
	}
	l.reserved[address] = reserved
	l.hall[host] = hall
	l.hall[address] = hall
	return address, nil
}

// listenRetryTimeout bounds the retries while a closed port is still in use.
const listenRetryTimeout = 5 * time.Second

// Listen implements Network.
func (l *Loopback) Listen(_, address string) (net.Listener, error) {
	l.mu.Lock()
	reserved := l.reserved[address]
	delete(l.reserved, address)
	l.mu.Unlock()
	if reserved != nil {
		return reserved, nil
	}
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		listener, err := net.Listen("tcp", address)
		if err == nil || time.Since(start) > listenRetryTimeout {
			return listener, err
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
