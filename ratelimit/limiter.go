package ratelimit

import (
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// Notice is the newest that a node knows of a target's limit.
type Notice struct {
	Rate float64   // requests per second, or Unlimited
	At   time.Time // when the response that said so arrived
}

// Limiter knows the limits that targets publish. Targets are named by incarnation: one
// that restarts has published none. Its methods are safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	targets map[string]*targetState // those that have published a limit
}

// targetState is what the node knows of one target.
type targetState struct {
	notice  Notice
	invalid bool // an invalid limit was logged
}

// New returns a Limiter that knows no limits.
func New() *Limiter { return &Limiter{targets: map[string]*targetState{}} }

// Observe records what a response of a target says of its limit. An invalid limit leaves
// the known one in force.
func (l *Limiter) Observe(target string, s Signal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.targets[target]
	if state == nil {
		if !s.Published {
			return
		}
		state = &targetState{notice: Notice{Rate: Unlimited}}
		l.targets[target] = state
	}
	if s.Invalid != "" || s.Published && s.PerSecond > MaxRate {
		state.logInvalid(target, s)
	}
	if s.Invalid != "" {
		return
	}
	rate := s.Rate()
	if rate != state.notice.Rate {
		klog.InfoS("Target rate limit changed", "target", target, "perSecond", rate, "before", state.notice.Rate)
	}
	state.notice = Notice{Rate: rate, At: uptime.Now()}
}

// logInvalid logs the first limit of a target that can't be followed.
func (t *targetState) logInvalid(target string, s Signal) {
	if t.invalid {
		return
	}
	t.invalid = true
	klog.InfoS("Ignoring a target's rate limit", "target", target, "text", s.Invalid, "perSecond", s.PerSecond)
}

// CountLimited returns the number of targets with a limit in force.
func (l *Limiter) CountLimited() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, state := range l.targets {
		if state.notice.Rate != Unlimited {
			n++
		}
	}
	return n
}
