package egress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/peer"
	"k8s.io/klog/v2"
)

// path is the HTTP path of requests.
const path = "/egress/v1"

const (
	// maxStreams bounds the requests that one other node has under way here.
	maxStreams = 250
	// streamBuffer is the flow-control window of one stream, in bytes. It bounds what is
	// buffered of a request body or of an answer whose client reads slowly.
	streamBuffer = 256 << 10
	// idleTimeout is how long a connection without requests is kept.
	idleTimeout = 20 * time.Second
)

// Server receives the requests of other nodes.
type Server struct {
	handler Handler
	http    *http.Server
}

// NewServer returns a server that passes requests to a handler. Request bodies may be up to
// maxBody bytes.
func NewServer(h Handler, maxBody int64) *Server {
	s := &Server{handler: h}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, maxBody) })
	s.http = &http.Server{Handler: mux, Protocols: protocols, IdleTimeout: idleTimeout, HTTP2: &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerStream: streamBuffer,
		SendPingTimeout: pingAfter, PingTimeout: pingTimeout,
	}}
	return s
}

// Serve accepts connections until Shutdown or Close.
func (s *Server) Serve(l net.Listener, self peer.Identity, traffic *peer.Traffic) error {
	return s.http.Serve(newIdentifiedListener(l, self, traffic))
}

// Shutdown stops accepting requests and waits for those under way, until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes all connections.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) serve(w http.ResponseWriter, r *http.Request, maxBody int64) {
	request, body, err := readRequest(r.Body, maxBody)
	if err != nil {
		klog.InfoS("Ignoring malformed relayed request", "from", r.RemoteAddr, "err", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	out := newResponseWriter(w)
	end := s.handler.HandleRelayed(r.Context(), request, body, out)
	if err := out.end(end); err != nil {
		panic(http.ErrAbortHandler) // the ingress has left, or must see a truncated answer
	}
}

// readRequest reads a request and the client's body.
func readRequest(r io.Reader, maxBody int64) (*Request, []byte, error) {
	kind, size, err := readFrameHeader(r)
	if err != nil {
		return nil, nil, err
	}
	if kind != frameRequest {
		return nil, nil, errFrame
	}
	request := &Request{}
	if err := readMessage(r, size, request); err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r, maxBody+1))
	if err == nil && int64(len(body)) > maxBody {
		err = errFrame
	}
	return request, body, err
}

// identifiedListener accepts connections on which the other node has identified itself.
type identifiedListener struct {
	net.Listener
	ready  chan net.Conn
	closed chan struct{}
	once   sync.Once
	err    error // of the listener; set before closed is closed
}

func newIdentifiedListener(l net.Listener, self peer.Identity, traffic *peer.Traffic) *identifiedListener {
	i := &identifiedListener{Listener: l, ready: make(chan net.Conn), closed: make(chan struct{})}
	go i.acceptLoop(self, traffic)
	return i
}

func (l *identifiedListener) acceptLoop(self peer.Identity, traffic *peer.Traffic) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			l.close(err)
			return
		}
		go l.identify(c, self, traffic)
	}
}

// identify performs the handshake and passes the connection on.
func (l *identifiedListener) identify(c net.Conn, self peer.Identity, traffic *peer.Traffic) {
	conn, err := self.Accept(c, traffic)
	if err != nil {
		c.Close()
		return
	}
	select {
	case l.ready <- conn:
	case <-l.closed:
		c.Close()
	}
}

// Accept implements net.Listener.
func (l *identifiedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.closed:
		return nil, l.err
	}
}

// Close implements net.Listener.
func (l *identifiedListener) Close() error {
	err := l.Listener.Close()
	l.close(net.ErrClosed)
	return err
}

func (l *identifiedListener) close(err error) {
	l.once.Do(func() {
		l.err = err
		close(l.closed)
	})
}
