package serve

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// Limits of the process's HTTP servers. For client connections, the configuration can
// lower the timeouts.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// httpServer is an HTTP server whose handlers can be waited for.
type httpServer struct {
	*http.Server
	conns atomic.Int64 // connections that are served
}

func newServer(h http.Handler) *httpServer {
	s := &httpServer{Server: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}}
	s.ConnState = s.track
	return s
}

// track counts the connections. One is closed for ConnState only when its handler has ended.
func (s *httpServer) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.conns.Add(1)
	case http.StateHijacked, http.StateClosed:
		s.conns.Add(-1)
	}
}

// handlerPollInterval is how often it is checked whether handlers have ended.
const handlerPollInterval = 2 * time.Millisecond

// awaitHandlers waits, for at most limit, until the handlers of a closed server have ended.
func (s *httpServer) awaitHandlers(limit time.Duration) {
	for began := time.Now(); s.conns.Load() > 0 && time.Since(began) < limit; {
		time.Sleep(handlerPollInterval)
	}
}

// listen starts an HTTP server on address.
func listen(address string, h http.Handler) (*httpServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := newServer(h)
	serveInBackground(server, l)
	return server, nil
}

func serveInBackground(server *httpServer, l net.Listener) {
	go func() {
		if err := server.Serve(l); err != http.ErrServerClosed {
			klog.ErrorS(err, "HTTP server failed", "address", l.Addr())
		}
	}()
}
