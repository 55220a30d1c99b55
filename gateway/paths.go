package gateway

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/reach"
	"github.com/walnutramp/walnutramp/targetconn"
)

// Times without any sign of a target after which a request is a sign that the path to the
// targets is lost.
const (
	plainSilence   = 300 * time.Millisecond
	prefillSilence = 600 * time.Millisecond // before the first event of a stream
	// streamSilenceShare is the same for a stream that has begun, as a fraction of the
	// timeout between its events: a check must end before the run is given up.
	streamSilenceShare = 0.5
	// precedingFailures is how long before a path was found to be lost targets may have
	// failed for that reason.
	precedingFailures = time.Second
)

// errPathLost cancels a run without a first event whose node has lost its path to targets.
var errPathLost = errors.New("path to the targets is lost")

// targetDialer implements reach.Dialer.
type targetDialer struct {
	targets *balance.Tracker
	pool    *targetconn.Pool
}

// DialTargets implements reach.Dialer.
func (d *targetDialer) DialTargets(service string, n int) []reach.Target {
	var found []reach.Target
	for _, t := range d.targets.DialTargets(service, n) {
		found = append(found, reach.Target{Name: t.Incarnation(), Address: t.Address})
	}
	return found
}

// Dial implements reach.Dialer.
func (d *targetDialer) Dial(ctx context.Context, t reach.Target, open time.Duration) error {
	began := time.Now()
	c, err := d.pool.Dial(ctx, "tcp", t.Address)
	if err != nil {
		return err
	}
	defer c.Close()
	took := time.Since(began)
	if err := c.SetReadDeadline(time.Now().Add(open)); err != nil {
		return err
	}
	if _, err := c.Read(make([]byte, 1)); err != nil && !isTimeout(err) {
		return fmt.Errorf("%w: it was closed at once: %w", syscall.ECONNREFUSED, err)
	}
	d.targets.RecordRoundTrip(t.Name, took)
	return nil
}

// pathLost moves the runs that wait for their first event, unless open connections may
// live on.
func (g *Gateway) pathLost(service string) {
	if !g.paths.State(service).Refused {
		go g.moveRuns(service)
	}
}

// moveRuns cancels the runs that wait for their first event, until the path to their targets
// has recovered: those that have been sent as soon as they can be replaced.
func (g *Gateway) moveRuns(service string) {
	for g.paths.State(service).Lost {
		g.pending.cancelWhere(errPathLost, func(r *pendingRun) bool {
			if r.target.Service != service || !r.replacement.allowed || !g.paths.State(service).Lost {
				return false
			}
			return !r.sent.Load() || r.replacement.reserve(g.ctx, true)
		})
		if !pause.For(g.ctx, replaceInterval) {
			return
		}
	}
}

// pathRecovered makes the targets eligible that failed only for this node.
func (g *Gateway) pathRecovered(service string, lostAt time.Time) {
	g.targets.ForgetFailures(service, lostAt.Add(-precedingFailures))
}

// atFault reports whether a target that failed did so itself: this node reaches others of
// its service.
func (g *Gateway) atFault(t *balance.Target) bool {
	return t.FailureConfirmed() || g.paths.Verify(context.Background(), t.Service)
}

// silenceWatch notices that no target has sent anything for a while although a request waits
// for one.
type silenceWatch struct {
	gateway *Gateway
	service string

	mu       sync.Mutex
	timer    *time.Timer
	timeout  time.Duration
	contacts uint64 // when the timer was started
	stopped  bool
}

// watchSilence starts a watch of a call.
func (g *Gateway) watchSilence(c *call, timeout time.Duration) *silenceWatch {
	w := &silenceWatch{gateway: g, service: c.service, timeout: timeout, contacts: g.targets.Contacts()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.expire)
	return w
}

// expire is called when the timer expires.
func (w *silenceWatch) expire() {
	contacts := w.gateway.targets.Contacts()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if contacts == w.contacts {
		w.gateway.paths.Suspect(w.service)
		w.gateway.paths.SuspectOpen(w.service)
	}
	w.contacts = contacts
	w.timer.Reset(w.timeout)
}

// heard records a sign of life of the request's target; timeout is the one for the next sign.
func (w *silenceWatch) heard(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timeout = timeout
		w.contacts = w.gateway.targets.Contacts()
		w.timer.Reset(timeout)
	}
}

// stop ends the watch.
func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
