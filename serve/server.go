package serve

import (
	"net"
	"net/http"
	"time"

	"github.com/walnutramp/walnutramp/internal/drain"
	"k8s.io/klog/v2"
)

// Limits of the process's HTTP servers. For client connections, the configuration can
// lower the timeouts.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

func newServer(h http.Handler) *drain.Server {
	return drain.New(&http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes})
}

// listen starts an HTTP server on address.
func listen(address string, h http.Handler) (*drain.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := newServer(h)
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
