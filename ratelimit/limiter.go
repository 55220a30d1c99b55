package ratelimit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quota"
	"k8s.io/klog/v2"
)

// Limiter decides which requests of this node may be sent to targets that publish a rate
// limit. Each target's rate is divided into slots, each of which one node owns. A node
// that needs a permit takes it from a slot of its own or asks an owner, which charges it
// to its slot. So the requests of all nodes stay within the limit whatever messages are
// lost or late.
//
// Targets are named by incarnation: one that has restarted has published no limit. All
// methods are safe for concurrent use.
type Limiter struct {
	ownership *quota.Ownership // nil if this is the only node
	network   Network
	onLimited func(target string, limited, owned bool)
	set       *metrics.Set
	counters  *counters

	mu      sync.Mutex
	targets map[string]*targetState // whose limit is or was known
	swept   time.Time
	gossip  gossip
	rng     *rand.Rand
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithOwnership sets which slots the node owns, on a site of several nodes.
func WithOwnership(o *quota.Ownership) Option { return func(l *Limiter) { l.ownership = o } }

// WithNetwork sets how the node reaches other nodes.
func WithNetwork(n Network) Option { return func(l *Limiter) { l.network = n } }

// WithSeed makes the order in which owners are asked reproducible.
func WithSeed(seed uint64) Option {
	return func(l *Limiter) { l.rng = rand.New(rand.NewPCG(seed, 5)) }
}

// New returns a Limiter that knows no limits.
func New(opts ...Option) *Limiter {
	l := &Limiter{network: noNetwork{}, onLimited: func(string, bool, bool) {}, targets: map[string]*targetState{}, swept: uptime.Now(),
		rng: rand.New(rand.NewPCG(rand.Uint64(), 5))}
	for _, opt := range opts {
		opt(l)
	}
	l.set, l.counters = newCounters(l)
	return l
}

// SetNetwork sets how the node reaches other nodes. It must be called before the first
// request.
func (l *Limiter) SetNetwork(n Network) { l.network = n }

// OnLimited sets a function that is called when a target becomes limited or unlimited, or
// this node the owner of one of its slots. It must be called before the first request.
func (l *Limiter) OnLimited(f func(target string, limited, owned bool)) { l.onLimited = f }

// Notice is the newest that a node knows of a target's limit.
type Notice struct {
	Rate float64   // requests per second, or Unlimited
	At   time.Time // when the response that said so arrived
}

// Limited reports whether the notice limits the target.
func (n Notice) Limited() bool { return n.Rate != Unlimited }

// age returns how long ago the response arrived.
func (n Notice) age(now time.Time) time.Duration { return max(0, now.Sub(n.At)) }

// Notice returns the newest that is known of a target's limit.
func (l *Limiter) Notice(target string) Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.targets[target]; s != nil {
		return s.notice
	}
	return Notice{Rate: Unlimited}
}

// Observe records what a response of a target says of its limit. An invalid limit leaves
// the known one in force.
func (l *Limiter) Observe(target string, signal Signal) {
	l.mu.Lock()
	s := l.targets[target]
	if s == nil && !signal.Published {
		l.mu.Unlock()
		return
	}
	if s == nil {
		s = l.add(target)
	}
	if signal.Invalid != "" || signal.Published && signal.PerSecond > MaxRate {
		s.logInvalid(signal)
	}
	if signal.Invalid != "" {
		l.mu.Unlock()
		return
	}
	notify := l.apply(s, Notice{Rate: signal.Rate(), At: uptime.Now()})
	l.mu.Unlock()
	notify()
}

// HandleChange records a limit that another node reports.
func (l *Limiter) HandleChange(c Change) {
	l.mu.Lock()
	s := l.targets[c.Target]
	if s == nil && c.Rate == Unlimited {
		l.mu.Unlock()
		return
	}
	if s == nil {
		s = l.add(c.Target)
	}
	notify := l.apply(s, Notice{Rate: c.Rate, At: uptime.Now().Add(-c.Age)})
	l.mu.Unlock()
	notify()
}

// apply puts a notice in force if it is newer than the known one, and spreads a limit that
// has changed or was long not confirmed. The caller holds the mutex, and calls notify after it has released it.
func (l *Limiter) apply(s *targetState, n Notice) (notify func()) {
	if !n.At.After(s.notice.At) {
		return func() {}
	}
	before := s.notice
	s.notice = n
	if n.Rate != before.Rate {
		klog.InfoS("Target rate limit changed", "target", s.name, "perSecond", n.Rate, "before", before.Rate)
		s.freeAt, s.returns, s.returnAt = [Slots]time.Time{}, time.Time{}, time.Time{}
	}
	if n.Rate != before.Rate || before.unconfirmed(n.At) {
		l.queueGossip(s)
	}
	if !n.Limited() {
		s.spare = nil
	}
	if n.Limited() == before.Limited() {
		return func() {}
	}
	l.updateOwners(s)
	limited, owned := n.Limited(), s.owned()
	return func() { l.onLimited(s.name, limited, owned) }
}

// add adds a target without a limit. The caller holds the mutex.
func (l *Limiter) add(target string) *targetState {
	now := uptime.Now()
	l.sweep(now)
	s := &targetState{name: target, notice: Notice{Rate: Unlimited}, usedAt: now}
	l.targets[target] = s
	return s
}

const (
	// forgetAfter is how long the state of a target without a limit is kept after its last
	// use, to know that a slot is not full: longer than one takes to fill at minRate.
	forgetAfter = 2 * time.Minute
	// forgetLimitedAfter is how long a limit is kept after its last use: longer than a
	// target may be missing from the list and return.
	forgetLimitedAfter = 15 * time.Minute
	// sweepInterval is the interval between searches for unused state.
	sweepInterval = 10 * time.Second
)

// sweep removes the state of targets that were not used for long. The caller holds the
// mutex.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepInterval {
		return
	}
	l.swept = now
	for name, s := range l.targets {
		ttl := forgetAfter
		if s.notice.Limited() {
			ttl = forgetLimitedAfter
		}
		if now.Sub(s.usedAt) > ttl && s.notice.age(now) > ttl {
			delete(l.targets, name)
		}
	}
}
