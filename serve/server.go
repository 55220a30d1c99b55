package serve

import (
	"cmp"
	"net"
	"net/http"
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
)

// Shares of the process's resources that the connections to each address may take; the rest is
// for targets and other nodes.
const (
	clientShare   = 1.0 / 2
	operatorShare = 1.0 / 4
	readyShare    = 1.0 / 16
	metricsShare  = 1.0 / 16
)

// setResources sets the limits of what clients may take.
func (p *Process) setResources() {
	p.resources = drain.ProcessResources(p.settings.MaxDescriptors)
	p.heads = p.resources.Heads(p.settings.ClientLimits)
	p.bodies = p.resources.Bodies(p.settings.ClientLimits)
	klog.InfoS("Limits of clients", "memory", p.resources.Memory, "descriptors", p.resources.Descriptors, "connections", p.maxClientConns())
}

// maxClientConns returns how many connections clients may have open.
func (p *Process) maxClientConns() int {
	return cmp.Or(p.settings.ClientLimits.MaxConnections, p.resources.MaxConns(clientShare))
}

// newServer returns a server of at most maxConns connections.
func (p *Process) newServer(h http.Handler, maxConns int, opts ...drain.Option) *drain.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	opts = append(opts, drain.WithHeads(p.heads), drain.WithMaxConns(maxConns), drain.WithBodyTimeout(p.settings.ClientLimits.BodyTimeout))
	return drain.New(s, opts...)
}

// listen starts an HTTP server on address, whose connections may take a share of the process's
// resources.
func (p *Process) listen(address string, share float64, h http.Handler) (*drain.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := p.newServer(h, p.resources.MaxConns(share), drain.WithBodies(p.bodies))
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
