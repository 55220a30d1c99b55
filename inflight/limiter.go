package inflight

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quota"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// Limiter grants and obtains leases. Targets are named by incarnation. Its methods are safe
// for concurrent use.
type Limiter struct {
	ownership *quota.Ownership // nil if this is the only node
	network   Network
	set       *metrics.Set
	counters  *counters

	mu       sync.Mutex
	services map[string]*serviceState
	targets  map[string]*targetState
	sweptAt  time.Time
	freed    chan struct{} // closed when a slot becomes free at this node
	lastID   uint64
	rng      *rand.Rand
	// questions limits what this node asks owners.
	questions *rate.Limiter
	grants    map[grantKey]time.Time // recent ones: a doubled message must not grant two leases
}

// grantKey identifies a Grant.
type grantKey struct {
	owner string
	id    uint64
}

// serviceState is the newest that is known of a service's targets.
type serviceState struct {
	brittle bool
	at      time.Time // when the response that said so arrived
	invalid bool      // an invalid signal was logged
	waiting int       // requests of this node in AwaitFree
	// waitedAt is when a request of this node last waited for a slot.
	waitedAt time.Time
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithOwnership sets which parts the node owns, on a site of several nodes.
func WithOwnership(o *quota.Ownership) Option { return func(l *Limiter) { l.ownership = o } }

// WithNetwork sets how the node reaches other nodes.
func WithNetwork(n Network) Option { return func(l *Limiter) { l.network = n } }

// WithSeed makes the order in which owners are asked reproducible.
func WithSeed(seed uint64) Option {
	return func(l *Limiter) { l.rng = rand.New(rand.NewPCG(seed, 7)) }
}

// New returns a Limiter that knows of no brittle targets.
func New(opts ...Option) *Limiter {
	l := &Limiter{network: noNetwork{}, services: map[string]*serviceState{}, targets: map[string]*targetState{}, sweptAt: uptime.Now(),
		freed: make(chan struct{}), questions: rate.NewLimiter(askRate, askBurst), grants: map[grantKey]time.Time{}, rng: rand.New(rand.NewPCG(rand.Uint64(), 7))}
	// IDs of leases start at random: those from before a restart must not end newer ones.
	l.lastID = l.rng.Uint64()
	for _, opt := range opts {
		opt(l)
	}
	l.set, l.counters = newCounters(l)
	return l
}

// SetNetwork sets how the node reaches other nodes. It must be called before the first
// request.
func (l *Limiter) SetNetwork(n Network) { l.network = n }

const (
	// noticeTTL is how long targets count as brittle without a response that says so.
	noticeTTL = time.Minute
	// noticeError bounds the error of the age of a notice, to which each node that passes it
	// on adds the time that it was on its way. Without it, two notices that contradict each
	// other could go on replacing one another.
	noticeError = 250 * time.Millisecond
	// noticeFanout is the number of nodes that a node notifies of a change.
	noticeFanout = 4
	// forgetAfter is how long the state of a target is kept after its last use: longer
	// than any lease.
	forgetAfter = 2 * time.Minute
	// sweepInterval is the interval between searches for unused state.
	sweepInterval = 10 * time.Second
)

// Bounded reports whether requests to a service's targets need a lease.
func (l *Limiter) Bounded(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bounded(service, uptime.Now())
}

// bounded is Bounded for a caller that holds the mutex.
func (l *Limiter) bounded(service string, now time.Time) bool {
	s := l.services[service]
	return s != nil && s.brittle && now.Sub(s.at) < noticeTTL
}

// Observe records what a response of a service's target says to a request that was sent at a
// time. A response may have been on its way since then, so one that does not call targets
// brittle counts as that old.
func (l *Limiter) Observe(service string, signal Signal, sentAt time.Time) {
	at := sentAt
	if signal.Brittle {
		at = uptime.Now()
	}
	l.mu.Lock()
	if l.services[service] == nil && !signal.Brittle {
		l.mu.Unlock()
		return
	}
	s := l.service(service)
	if signal.Invalid != "" && !s.invalid {
		s.invalid = true
		klog.InfoS("Targets call themselves brittle without a number", "service", service, "text", signal.Invalid)
	}
	changed := l.apply(service, s, signal.Brittle, at, signal.Rejections)
	l.mu.Unlock()
	if changed {
		l.network.SpreadNotice(noticeFanout, Notice{Service: service, Brittle: signal.Brittle, Age: uptime.Since(at)})
	}
}

// Notices returns what is known of all services whose targets are brittle.
func (l *Limiter) Notices() (notices []Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := uptime.Now()
	for name, s := range l.services {
		if l.bounded(name, now) {
			notices = append(notices, Notice{Service: name, Brittle: true, Age: now.Sub(s.at)})
		}
	}
	return notices
}

// HandleNotice records what another node says of a service's targets, and passes it on if
// it is new.
func (l *Limiter) HandleNotice(n Notice) {
	now := uptime.Now()
	l.mu.Lock()
	s := l.service(n.Service)
	at := now.Add(-n.Age)
	if n.Brittle != s.brittle {
		at = at.Add(-noticeError)
	}
	changed := l.apply(n.Service, s, n.Brittle, at, 0)
	l.mu.Unlock()
	if changed {
		l.network.SpreadNotice(noticeFanout, Notice{Service: n.Service, Brittle: n.Brittle, Age: uptime.Since(at)})
	}
}

// service returns the state of a service. The caller holds the mutex.
func (l *Limiter) service(name string) *serviceState {
	s := l.services[name]
	if s == nil {
		s = &serviceState{}
		l.services[name] = s
	}
	return s
}

// apply puts a notice in force if it is newer than the known one, and reports whether that
// changed anything. The caller holds the mutex.
func (l *Limiter) apply(service string, s *serviceState, brittle bool, at time.Time, rejections int) (changed bool) {
	if !at.After(s.at) {
		return false
	}
	changed = s.brittle != brittle
	s.brittle, s.at = brittle, at
	if changed {
		klog.InfoS("Targets' brittleness changed", "service", service, "brittle", brittle, "rejectionsPerSecond", rejections)
		l.signalFreed()
	}
	return changed
}

// signalFreed wakes those that wait for a free slot. The caller holds the mutex.
func (l *Limiter) signalFreed() {
	close(l.freed)
	l.freed = make(chan struct{})
}

// AwaitFree waits for a request to a service until a slot has become free at this node, for
// a time at most.
func (l *Limiter) AwaitFree(ctx context.Context, service string, d time.Duration) {
	l.mu.Lock()
	freed := l.freed
	s := l.service(service)
	s.waiting++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.waiting--
		s.waitedAt = uptime.Now()
	}()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// wanted reports whether requests of this node wait for a target's service. The caller holds
// the mutex.
func (l *Limiter) wanted(s *targetState, now time.Time) bool {
	service := l.services[s.service]
	return service != nil && (service.waiting > 0 || now.Sub(service.waitedAt) < wantedTime)
}

// target returns the state of a request's target, whose slots are the newest number known.
// The caller holds the mutex.
func (l *Limiter) target(r Request, now time.Time) *targetState {
	l.sweep(now)
	s := l.targets[r.Target]
	if s == nil {
		s = newTargetState(r.Target)
		l.targets[r.Target] = s
	}
	s.usedAt = now
	if r.Slots > 0 {
		s.slots = r.Slots
	}
	if r.Service != "" {
		s.service = r.Service
	}
	return s
}

// sweep removes the state of targets that were not used for long. The caller holds the
// mutex.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	maps.DeleteFunc(l.grants, func(_ grantKey, at time.Time) bool { return now.Sub(at) > sweepInterval })
	for name, s := range l.targets {
		if now.Sub(s.usedAt) > forgetAfter {
			delete(l.targets, name)
		}
	}
}
