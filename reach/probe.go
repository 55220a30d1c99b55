package reach

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

const (
	// dialTimeout bounds one dial.
	dialTimeout = 250 * time.Millisecond
	// checkDials is the number of targets that a check dials at a time. Fewer would take
	// the loss of some targets, or of packets, for the loss of the path.
	checkDials = 3
	// maxDials is the number that it dials at most, since refusals come quickly.
	maxDials = 8
	// dialStagger is the time from one dial of a check to the next. Most checks end with
	// the first one, which is accepted within a round trip.
	dialStagger = 30 * time.Millisecond
	// probeInterval is the time from the start of a failed probe, which may last for
	// dialTimeout, to that of the next one.
	probeInterval = 400 * time.Millisecond
	// confirmInterval is the time from a probe that succeeded to the next one.
	confirmInterval = 100 * time.Millisecond
	// openTime is how long a connection of a check must stay open. Requests wait for checks.
	openTime = 10 * time.Millisecond
	// probeOpenTime is the same of a probe, for which none waits: what closes connections may
	// be slow to do so.
	probeOpenTime = 100 * time.Millisecond
	// confirmations is the number of probes in a row that must succeed, so that a path
	// that fails now and then is not taken for recovered.
	confirmations = 2
)

// dialResult is the result of the dials of a check.
type dialResult struct {
	dialed, accepted, refused int
	err                       error // of the last one that failed
}

// lost reports whether no target accepted a connection.
func (r dialResult) lost() bool { return r.dialed > 0 && r.accepted == 0 }

func (r dialResult) allRefused() bool { return r.refused == r.dialed }

// dialSome dials targets of a service one after the other, without waiting for the earlier
// ones, until one accepts. Each one that refuses is replaced by another.
func (m *Monitor) dialSome(service string) (r dialResult) {
	targets := m.dialer.DialTargets(service, maxDials)
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	errs := make(chan error, len(targets))
	started := min(checkDials, len(targets))
	for i, t := range targets[:started] {
		go func() { errs <- m.dialAfter(ctx, time.Duration(i)*dialStagger, t) }()
	}
	for r.dialed < started {
		err := <-errs
		r.dialed++
		if err == nil {
			r.accepted++
			return r
		}
		r.err = err
		if !refusal(err) {
			continue
		}
		r.refused++
		if started < len(targets) {
			t := targets[started]
			started++
			go func() { errs <- m.dial(ctx, t, openTime) }()
		}
	}
	return r
}

func (m *Monitor) dialAfter(ctx context.Context, wait time.Duration, t Target) error {
	if wait > 0 && !pause.For(ctx, wait) {
		return ctx.Err()
	}
	return m.dial(ctx, t, openTime)
}

// refusal reports whether err means that a connection was refused rather than unanswered.
func refusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

func (m *Monitor) dial(ctx context.Context, t Target, open time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return m.dialer.Dial(ctx, t, open)
}

// awaitRecovery probes targets of a service until several in a row accept a connection, or
// none is left.
func (m *Monitor) awaitRecovery(service string, p *path) {
	accepted := 0
	wait := probeInterval
	for accepted < confirmations {
		if !pause.For(m.ctx, wait) {
			return
		}
		targets := m.dialer.DialTargets(service, 1)
		if len(targets) == 0 {
			break
		}
		accepted++
		wait = confirmInterval
		began := time.Now()
		if m.dial(m.ctx, targets[0], probeOpenTime) != nil {
			accepted, wait = 0, probeInterval-time.Since(began)
		}
	}
	m.mu.Lock()
	lostAt := p.state.Since
	p.state = State{}
	m.mu.Unlock()
	klog.InfoS("Path to targets recovered", "service", service, "lost_ms", uptime.Since(lostAt).Milliseconds())
	m.onRecovered(service, lostAt)
}
