// Package reach finds out whether this node has a path to the targets of each service. On signs
// that it has none, it dials some of them: if none accepts a connection, the path is lost
// until some accept again.
package reach

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// Target is a target that may be dialed.
type Target struct {
	Name    string // incarnation
	Address string // numeric host:port
}

// Dialer finds and dials targets.
type Dialer interface {
	// DialTargets returns up to n targets of a service, in the order in which to dial
	// them: of different data halls if possible, and those that most likely accept first.
	DialTargets(service string, n int) []Target
	// Dial opens a connection to a target, and closes it again after a while in which the
	// other side must not do so: a load balancer or proxy on the way may accept it and then
	// find that it does not reach the target.
	Dial(ctx context.Context, t Target, open time.Duration) error
}

// State is what is known of the path to a service's targets.
type State struct {
	Lost bool
	// Refused says that new connections are refused, so that open ones may live on. It
	// has no meaning unless Lost is set.
	Refused bool
	Since   time.Time // when the path was lost
}

// Monitor watches the paths to the targets of all services. Its methods are safe for
// concurrent use.
type Monitor struct {
	dialer      Dialer
	onLost      func(service string)
	onRecovered func(service string, lostAt time.Time)
	ctx         context.Context
	cancel      context.CancelFunc
	set         *metrics.Set

	mu    sync.Mutex
	paths map[string]*path // by service
}

// path is the path to the targets of one service.
type path struct {
	state     State
	checkedAt time.Time     // when the latest check began
	check     chan struct{} // closed when the current check ends; nil without one
}

// Option configures a Monitor.
type Option func(*Monitor)

// WithOnLost sets a function that is called when the path to a service is lost.
func WithOnLost(f func(service string)) Option { return func(m *Monitor) { m.onLost = f } }

// WithOnRecovered sets a function that is called when the path to a service has recovered.
func WithOnRecovered(f func(service string, lostAt time.Time)) Option {
	return func(m *Monitor) { m.onRecovered = f }
}

// New returns a Monitor that takes all paths to stand.
func New(d Dialer, opts ...Option) *Monitor {
	m := &Monitor{dialer: d, onLost: func(string) {}, onRecovered: func(string, time.Time) {}, set: metrics.NewSet(), paths: map[string]*path{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Close ends checks and probes.
func (m *Monitor) Close() { m.cancel() }

// State returns what is known of the path to a service's targets.
func (m *Monitor) State(service string) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.paths[service]; p != nil {
		return p.state
	}
	return State{}
}

// checkInterval is the minimum time between the checks that Suspect starts. In an outage of
// many targets each of them is a sign, and one check answers all.
const checkInterval = 100 * time.Millisecond

// Suspect says that there is a sign that the path to a service's targets is lost: a
// connection that failed, or no answer. It starts a check unless one began just now.
func (m *Monitor) Suspect(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pathOf(service)
	if p.check == nil && !p.state.Lost && uptime.Since(p.checkedAt) >= checkInterval {
		m.startCheck(service, p)
	}
}

// SuspectOpen says that open connections to a service's targets are silent. If new ones are
// refused, open ones are not taken to live on any more.
func (m *Monitor) SuspectOpen(service string) {
	m.mu.Lock()
	p := m.paths[service]
	given := p != nil && p.state.Lost && p.state.Refused
	if given {
		p.state.Refused = false
	}
	m.mu.Unlock()
	if given {
		klog.InfoS("Open connections to targets are silent, too", "service", service)
		m.onLost(service)
	}
}

// Await waits for the check of a service that is under way, if there is one, and returns
// the state after it.
func (m *Monitor) Await(ctx context.Context, service string) State {
	m.mu.Lock()
	p := m.paths[service]
	if p == nil || p.check == nil {
		m.mu.Unlock()
		return m.State(service)
	}
	check := p.check
	m.mu.Unlock()
	select {
	case <-check:
	case <-ctx.Done():
	}
	return m.State(service)
}

// Verify checks the path to a service's targets now and reports whether it stands.
func (m *Monitor) Verify(ctx context.Context, service string) bool {
	m.mu.Lock()
	if p := m.pathOf(service); p.check == nil && !p.state.Lost {
		m.startCheck(service, p)
	}
	m.mu.Unlock()
	return !m.Await(ctx, service).Lost
}

// pathOf returns the path to a service's targets. The caller holds the mutex.
func (m *Monitor) pathOf(service string) *path {
	p := m.paths[service]
	if p == nil {
		p = &path{}
		m.paths[service] = p
		m.set.NewGauge(reachMetric(service), func() float64 {
			if m.State(service).Lost {
				return 0
			}
			return 1
		})
	}
	return p
}

// startCheck starts a check. The caller holds the mutex.
func (m *Monitor) startCheck(service string, p *path) {
	p.check = make(chan struct{})
	p.checkedAt = uptime.Now()
	go m.runCheck(service, p)
}

// runCheck dials some targets and records the path as lost if none accepts.
func (m *Monitor) runCheck(service string, p *path) {
	result := m.dialSome(service)
	m.mu.Lock()
	if result.lost() {
		p.state = State{Lost: true, Refused: result.allRefused(), Since: p.checkedAt}
	}
	state := p.state
	close(p.check)
	p.check = nil
	m.mu.Unlock()
	if !state.Lost || m.ctx.Err() != nil {
		return
	}
	klog.InfoS("Path to targets lost", "service", service, "dialed", result.dialed, "refused", result.refused, "err", result.err)
	m.onLost(service)
	m.awaitRecovery(service, p)
}
