package control

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	dutyCheckInterval = 100 * time.Millisecond
	// renewalsPerLease is the number of renewals within one lease, so that losing
	// a few replies does not delay calls.
	renewalsPerLease = 8
	heldLogInterval  = 10 * time.Second // between log lines while the duty is held
)

// callRateShare is the share of the platform's rate limit that one holder uses,
// so that two successive holders within a second stay within the limit.
const callRateShare = 0.5

// dutyGroup is the part of the control group that DutyHolder uses.
type dutyGroup interface {
	Leads() bool
	// Confirm has a majority confirm, after the call, that this member leads.
	Confirm(ctx context.Context) bool
	// Commit proposes a command and waits until it is applied. If it returns false,
	// the command may or may not be applied.
	Commit(ctx context.Context, c Command) bool
	// Record returns the duty record as applied by this member.
	Record() duty.Record
}

// leaderTransfer transfers leadership to another member.
type leaderTransfer interface {
	TransferLeadership(ctx context.Context) bool
}

// memberGroup implements dutyGroup with the member in this process.
type memberGroup struct {
	*consensus.Member
	server *Server
}

func (g memberGroup) Record() duty.Record { return g.server.state.dutyRecord() }

func (g memberGroup) Commit(ctx context.Context, c Command) bool {
	var reply DoReply
	if err := g.server.propose(ctx, c, &reply); err != nil {
		klog.ErrorS(err, "Could not propose a command to the control group")
		return false
	}
	return reply.Code == walnutramp.CodeOK
}

// DutyHolder makes calls to the platform while its member leads the control
// group and holds the duty. It takes grants, renews the lease and limits the call
// rate. It implements duty.Caller.
type DutyHolder struct {
	group    dutyGroup
	transfer leaderTransfer // nil if leadership can't be transferred
	cfg      duty.Config
	self     duty.Holder
	limiter  *rate.Limiter
	metrics  *metrics.Set
	stepLock chan struct{} // held during a step of Run or a release

	mu       sync.Mutex
	lease    *duty.Lease
	gate     *duty.Gate
	inFlight map[duty.Subject]chan struct{} // closed when the call ends
	draining bool                           // no new call starts
	stopped  bool                           // permanently, by Release
	wasHeld  bool                           // as last logged
	loggedAt time.Time
}

// DutyOption configures a DutyHolder.
type DutyOption func(*dutyOptions)

type dutyOptions struct {
	name     string
	transfer leaderTransfer
}

// WithHolderName sets the node name sent to the platform; the default is its
// address.
func WithHolderName(name string) DutyOption { return func(o *dutyOptions) { o.name = name } }

// NewDutyHolder returns a DutyHolder for a member and its server.
func NewDutyHolder(m *consensus.Member, s *Server, node walnutramp.NodeName, cfg duty.Config, opts ...DutyOption) *DutyHolder {
	o := dutyOptions{name: string(node)}
	o.transfer, _ = any(m).(leaderTransfer)
	for _, opt := range opts {
		opt(&o)
	}
	return newDutyHolder(memberGroup{m, s}, node, cfg, o)
}

func newDutyHolder(group dutyGroup, node walnutramp.NodeName, cfg duty.Config, o dutyOptions) *DutyHolder {
	self := duty.Holder{Node: string(node), Life: rand.Uint64()}
	h := &DutyHolder{
		group: group, transfer: o.transfer, cfg: cfg, self: self, metrics: metrics.NewSet(), stepLock: make(chan struct{}, 1),
		limiter: rate.NewLimiter(rate.Limit(cfg.PerSecond*callRateShare), 1),
		lease:   duty.NewLease(cfg, self, o.name), gate: duty.NewGate(), inFlight: map[duty.Subject]chan struct{}{},
	}
	h.registerGauges()
	return h
}

func (h *DutyHolder) registerGauges() {
	h.metrics.NewGauge("walnutramp_duty_held", func() float64 {
		if h.Held() {
			return 1
		}
		return 0
	})
	h.metrics.NewGauge("walnutramp_duty_token", func() float64 { return float64(h.group.Record().Token) })
	h.metrics.NewGauge("walnutramp_duty_lease_left_seconds", func() float64 {
		p, ok := h.permission()
		if !ok {
			return 0
		}
		return uptime.Until(p.Until).Seconds()
	})
}

// WriteMetrics writes the holder's metrics in the Prometheus text format.
func (h *DutyHolder) WriteMetrics(w io.Writer) { h.metrics.WritePrometheus(w) }

// Held implements duty.Caller.
func (h *DutyHolder) Held() bool {
	_, ok := h.permission()
	return ok
}

// permission returns the permission for a call made now; false if none may be
// made.
func (h *DutyHolder) permission() (duty.Permission, bool) {
	if !h.group.Leads() {
		return duty.Permission{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining || h.stopped {
		return duty.Permission{}, false
	}
	return h.lease.Permission(uptime.Now())
}

// Run acquires and renews the duty while this member leads, until ctx is done.
func (h *DutyHolder) Run(ctx context.Context) {
	for pause.For(ctx, dutyCheckInterval) {
		h.step(ctx)
		h.logState()
	}
}

// step renews the lease, transfers leadership if the platform has not answered,
// or takes the next grant.
func (h *DutyHolder) step(ctx context.Context) {
	h.stepLock <- struct{}{}
	defer func() { <-h.stepLock }()
	if h.isStopped() || !h.group.Leads() || h.renewalDue() && !h.renew(ctx) {
		return
	}
	if transferDelay, unresponsive := h.platformUnresponsive(); unresponsive > transferDelay && h.transfer != nil {
		h.transferLeadership(ctx, unresponsive)
		return
	}
	if grant, reason := h.nextGrant(); reason != duty.ReasonNone {
		h.acquire(ctx, grant, reason)
	}
}

func (h *DutyHolder) isStopped() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopped
}

// renewalDue reports whether leadership should be confirmed again.
func (h *DutyHolder) renewalDue() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Due(uptime.Now(), h.cfg.Lease/renewalsPerLease)
}

// renew confirms leadership with a majority, reads the latest duty record and
// extends the lease, which counts from before the confirmation was requested.
func (h *DutyHolder) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, leadershipConfirmTimeout)
	defer cancel()
	requestedAt := uptime.Now()
	if !h.group.Confirm(ctx) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease.Learn(h.group.Record(), uptime.Now())
	h.lease.Confirm(requestedAt)
	return true
}

// nextGrant returns the grant to take now and the reason for it.
func (h *DutyHolder) nextGrant() (duty.Grant, duty.Reason) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Next(uptime.Now(), h.gate.Reached())
}

// acquire commits a grant to this process and reports whether it is known to be
// committed.
func (h *DutyHolder) acquire(ctx context.Context, g duty.Grant, reason duty.Reason) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if !h.group.Commit(ctx, Command{Grant: &g}) {
		klog.InfoS("Duty not granted", "why", reason)
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.lease.Record().First
	h.lease.Learn(h.group.Record(), uptime.Now())
	r := h.lease.Record()
	if r.First != before {
		h.gate.ForgetAnswers() // those of an earlier tenure
	}
	klog.InfoS("Duty granted", "why", reason, "token", r.Token, "waits", r.Waits, "before", r.Before.Node, "recent", r.Recent)
	return true
}

// logState logs that the duty was taken or lost since the previous call, and
// logs at intervals that it is held.
func (h *DutyHolder) logState() {
	held, leads := h.Held(), h.group.Leads()
	h.mu.Lock()
	defer h.mu.Unlock()
	if held == h.wasHeld && (!held || uptime.Since(h.loggedAt) < heldLogInterval) {
		return
	}
	r := h.lease.Record()
	left := uptime.Until(h.lease.Until()).Milliseconds()
	switch {
	case held && h.wasHeld:
		klog.InfoS("Duty held", "token", r.Token, "left_ms", left)
	case held:
		klog.InfoS("Duty taken", "token", r.Token, "before", r.Before.Node, "left_ms", left)
	default:
		klog.InfoS("Duty lost", "token", r.Token, "leads", leads, "left_ms", left, "released", h.stopped || h.draining, "holder", r.Holder.Node)
	}
	h.wasHeld, h.loggedAt = held, uptime.Now()
}
