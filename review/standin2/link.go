//go:build review

package main

import (
	"net"
	"sync"
	"time"
)

// link is the platform's way to a daemon. While it is dark it says nothing, as the way to a
// machine without power: bytes are lost, connections stay open and new ones hang.
type link struct {
	l        net.Listener
	upstream string

	mu   sync.Mutex
	dark bool
	held []net.Conn // whose other side was lost while the link was dark
}

func newLink(address, upstream string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	k := &link{l: l, upstream: upstream}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.connect(c)
		}
	}()
	return k, nil
}

func (k *link) address() string { return k.l.Addr().String() }

func (k *link) setDark(dark bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dark = dark
}

func (k *link) isDark() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.dark
}

func (k *link) hold(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = append(k.held, c)
}

func (k *link) connect(client net.Conn) {
	if k.isDark() {
		k.hold(client)
		return
	}
	daemon, err := net.DialTimeout("tcp", k.upstream, time.Second)
	if err != nil {
		client.(*net.TCPConn).SetLinger(0)
		client.Close()
		return
	}
	go k.copy(client, daemon)
	k.copy(daemon, client)
}

// copy passes bytes on in one direction. What comes while the link is dark is lost, and so is
// the end of the connection.
func (k *link) copy(from, to net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if k.isDark() {
			k.hold(from)
			k.hold(to)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			from.Close()
			return
		}
	}
}
