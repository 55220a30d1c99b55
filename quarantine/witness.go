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

// Witness detects crashed targets and records them in a Ledger. A broken
// connection alone does not prove a crash; the target is probed, and a refused
// connection means that its process has exited.
type Witness struct {
	*Ledger
	dial   DialFunc
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	closed bool
	probes sync.WaitGroup
}

// NewWitness returns a witness that probes targets with dial; with a nil dial
// it detects nothing.
func NewWitness(l *Ledger, dial DialFunc) *Witness {
	w := &Witness{Ledger: l, dial: dial}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// Close cancels pending probes, whose results are discarded.
func (w *Witness) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.cancel()
	w.probes.Wait()
}

// Break describes a connection to a target that broke during a run.
type Break struct {
	Request  string // request ID, for logs
	Content  Fingerprint
	Target   string
	Address  string // numeric host:port of the target
	Standing Standing
	Sent     time.Time // when the request was sent to the target
}

// Look is a pending probe.
type Look struct{ done chan struct{} }

// Broke starts probing the target of a broken connection. It returns nil without
// probing if the run was Settled or the witness is closed.
func (w *Witness) Broke(b Break) *Look {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.Standing == Settled || w.closed {
		return nil
	}
	brokeAt := uptime.Now()
	note := Note{Content: b.Content, Target: shortname.Of(b.Target), Standing: b.Standing, Ran: uptime.Since(b.Sent)}
	probe := &Look{done: make(chan struct{})}
	w.probes.Go(func() {
		defer close(probe.done)
		exited := w.hasExited(b.Address)
		klog.InfoS("Looked at a target that broke off", "request", b.Request, "content", b.Content, "target", b.Target,
			"standing", b.Standing, "ended", exited, "ran_ms", note.Ran.Milliseconds())
		if exited {
			note.Age = uptime.Since(brokeAt)
			w.Ended(note)
		}
	})
	return probe
}

// endsTargetsMessage is the error message for callers whose request is
// quarantined.
const endsTargetsMessage = "targets end when they run this request"

// Refuse returns the error for a new request whose content is quarantined, with
// the remaining quarantine as Retry-After, or nil.
func (w *Witness) Refuse(content Fingerprint) *walnutramp.Error {
	left, held := w.Held(content)
	if !held {
		return nil
	}
	return walnutramp.NewError(walnutramp.CodeHeldBack, walnutramp.NotRun, endsTargetsMessage).WithRetryAfter(left)
}

// Stop returns the error for a request that may have run on a target and must
// not be retried on another one, or nil. If the content is already a suspect,
// it waits for the probe's result and, where that decides, for notes of other
// nodes.
func (w *Witness) Stop(l *Look, content Fingerprint) *walnutramp.Error {
	if l != nil && w.Suspect(content) {
		<-l.done
		pause.For(w.ctx, w.DecisionDelay(content))
	}
	if _, held := w.Held(content); !held {
		return nil
	}
	return walnutramp.NewError(walnutramp.CodeEndsTargets, walnutramp.Unknown, endsTargetsMessage)
}

// hasExited reports whether nothing listens on a target's address any more.
func (w *Witness) hasExited(address string) bool {
	ctx, cancel := context.WithTimeout(w.ctx, probeTimeout)
	defer cancel()
	return w.refusesConnection(ctx, address) || pause.For(ctx, probeInterval) && w.refusesConnection(ctx, address)
}

func (w *Witness) refusesConnection(ctx context.Context, address string) bool {
	if w.dial == nil {
		return false
	}
	c, err := w.dial(ctx, "tcp", address)
	if err == nil {
		c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
