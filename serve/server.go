package serve

import (
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/walnutramp/walnutramp/internal/drain"
	"k8s.io/klog/v2"
)

// Limits of the process's HTTP servers. For client connections, the configuration can
// lower the timeouts.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds the head of a request where the configuration does not.
	maxHeaderBytes = 64 << 10
	// headShare bounds the memory of large request heads as a fraction of the process's.
	headShare = 1.0 / 8
)

// headMemory returns the memory for large request heads, in bytes.
func (s *Settings) headMemory() int64 {
	if s.HeadMemoryMB > 0 {
		return int64(s.HeadMemoryMB) << 20
	}
	return int64(min(drain.DefaultHeadMemory, headShare*float64(debug.SetMemoryLimit(-1))))
}

func newServer(h http.Handler, opts ...drain.Option) *drain.Server {
	return drain.New(&http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}, opts...)
}

// listen starts an HTTP server on address.
func (p *Process) listen(address string, h http.Handler) (*drain.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := newServer(h, drain.WithHeads(p.heads))
	serveInBackground(server, l)
	return server, nil
}

func serveInBackground(server *drain.Server, l net.Listener) {
	go func() {
		if err := server.Serve(l); err != http.ErrServerClosed {
			klog.ErrorS(err, "HTTP server failed", "address", l.Addr())
		}
	}()
}
