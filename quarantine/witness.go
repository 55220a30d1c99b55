package quarantine

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/shortname"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// Timing of the probes after a connection to a target broke.
const (
	// probeInterval is the delay before the second probe: an exiting process
	// closes its listening socket within milliseconds.
	probeInterval = 30 * time.Millisecond
	// probeTimeout bounds both probes. The host of an exited process refuses
	// connections at once; no reply means a network or power failure, which no
	// request causes.
	probeTimeout = 500 * time.Millisecond
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// CrashDetector detects crashed targets and records them in a Ledger. A broken
// connection alone does not prove a crash; the target is probed, and a refused
// connection means that its process has exited.
type CrashDetector struct {
	*Ledger
	dial   DialFunc
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	closed bool
	probes sync.WaitGroup
}

// NewCrashDetector returns a CrashDetector that probes targets with dial; with a nil dial
// it detects nothing.
func NewCrashDetector(l *Ledger, dial DialFunc) *CrashDetector {
	d := &CrashDetector{Ledger: l, dial: dial}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Close cancels pending probes, whose results are discarded.
func (d *CrashDetector) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.cancel()
	d.probes.Wait()
}

// BrokenConn describes a connection to a target that broke during a run.
type BrokenConn struct {
	Request  string // request ID, for logs
	Content  Fingerprint
	Target   string
	Address  string // numeric host:port of the target
	Standing Standing
	Sent     time.Time // when the request was sent to the target
	// AtFault reports whether the target itself failed rather than this node's path to it.
	// It may block for a fraction of a second; nil for always.
	AtFault func() bool
}

// Probe is a pending probe.
type Probe struct{ done chan struct{} }

// StartProbe starts probing the target of a broken connection. It returns nil without
// probing if the run was Settled or the detector is closed.
func (d *CrashDetector) StartProbe(b BrokenConn) *Probe {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b.Standing == Settled || d.closed {
		return nil
	}
	brokeAt := uptime.Now()
	report := Report{Content: b.Content, Target: shortname.Of(b.Target), Standing: b.Standing, Ran: uptime.Since(b.Sent)}
	probe := &Probe{done: make(chan struct{})}
	d.probes.Go(func() {
		defer close(probe.done)
		exited := d.hasExited(b.Address) && (b.AtFault == nil || b.AtFault())
		klog.InfoS("Looked at a target that broke off", "request", b.Request, "content", b.Content, "target", b.Target,
			"standing", b.Standing, "ended", exited, "ran_ms", report.Ran.Milliseconds())
		if exited {
			report.Age = uptime.Since(brokeAt)
			d.RecordCrash(report)
		}
	})
	return probe
}

// endsTargetsMessage is the error message for callers whose request is
// quarantined.
const endsTargetsMessage = "targets end when they run this request"

// CheckNew returns the error for a new request whose content is quarantined, with
// the remaining quarantine as Retry-After, or nil.
func (d *CrashDetector) CheckNew(content Fingerprint) *walnutramp.Error {
	left, quarantined := d.Quarantined(content)
	if !quarantined {
		return nil
	}
	return walnutramp.NewError(walnutramp.CodeQuarantined, walnutramp.NotRun, endsTargetsMessage).WithRetryAfter(left)
}

// CheckRetry returns the error for a request that may have run on a target and must
// not be retried on another one, or nil. If the content is already a suspect,
// it waits for the probe's result and, where that decides, for reports of other
// nodes.
func (d *CrashDetector) CheckRetry(probe *Probe, content Fingerprint) *walnutramp.Error {
	if probe != nil && d.Suspect(content) {
		<-probe.done
		pause.For(d.ctx, d.DecisionDelay(content))
	}
	if _, quarantined := d.Quarantined(content); !quarantined {
		return nil
	}
	return walnutramp.NewError(walnutramp.CodeCrashesTargets, walnutramp.Unknown, endsTargetsMessage)
}

// hasExited reports whether nothing listens on a target's address any more.
func (d *CrashDetector) hasExited(address string) bool {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	return d.refusesConnection(ctx, address) || pause.For(ctx, probeInterval) && d.refusesConnection(ctx, address)
}

func (d *CrashDetector) refusesConnection(ctx context.Context, address string) bool {
	if d.dial == nil {
		return false
	}
	c, err := d.dial(ctx, "tcp", address)
	if err == nil {
		c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
