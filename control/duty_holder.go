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

// Times of the duty.
const (
	dutyEvery = 100 * time.Millisecond // between two looks at what the leader has to do
	// dutyRenewals is how many times a lease is renewed within its length, so
	// that a few answers may be lost before a call has to wait for one.
	dutyRenewals = 8
	keptEvery    = 10 * time.Second // between two lines about a duty that is kept
)

// paceShare is the part of the platform's bound on calls that a holder uses:
// two holders that follow each other within a second stay within it.
const paceShare = 0.5

// dutyGroup is what the holder needs of the control group.
type dutyGroup interface {
	Leads() bool
	// Confirm has a majority say, after now, that this member leads.
	Confirm(ctx context.Context) bool
	// Agree has the group agree on a command; false if that is not known to
	// have come about.
	Agree(ctx context.Context, c Command) bool
	// Record returns what this member has applied.
	Record() duty.Record
}

// leaderTransfer is a member that can make another one the leader.
type leaderTransfer interface {
	HandOver(ctx context.Context) bool
}

// memberGroup is the control group by way of its member in this process.
type memberGroup struct {
	*consensus.Member
	server *Server
}

func (g memberGroup) Record() duty.Record { return g.server.state.dutyRecord() }

func (g memberGroup) Agree(ctx context.Context, c Command) bool {
	var reply DoReply
	if err := g.server.propose(ctx, c, &reply); err != nil {
		klog.ErrorS(err, "Command not handed to the group")
		return false
	}
	return reply.Code == walnutramp.CodeOK
}

// DutyHolder makes calls to the platform on the leader, which holds the duty:
// it takes grants, keeps the lease, and paces calls. It implements duty.Caller.
type DutyHolder struct {
	group    dutyGroup
	transfer leaderTransfer // nil where leadership can't be handed over
	cfg      duty.Config
	self     duty.Holder
	limiter  *rate.Limiter
	metrics  *metrics.Set
	steps    chan struct{} // full during a step of Run, or a release

	mu       sync.Mutex
	lease    *duty.Lease
	gate     *duty.Gate
	busy     map[duty.Subject]chan struct{} // closed when the call under way ends
	draining bool                           // no call begins
	stopped  bool                           // for good
	held     bool                           // when Run last looked
	logged   time.Time                      // when that was last logged
}

// DutyOption sets how a DutyHolder works.
type DutyOption func(*dutyOptions)

type dutyOptions struct {
	name     string
	transfer leaderTransfer
}

// WithHolderName sets what the platform knows this node by, in place of its
// address.
func WithHolderName(name string) DutyOption { return func(o *dutyOptions) { o.name = name } }

// NewDutyHolder returns a holder for a member and its server.
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
		group: group, transfer: o.transfer, cfg: cfg, self: self, metrics: metrics.NewSet(), steps: make(chan struct{}, 1),
		limiter: rate.NewLimiter(rate.Limit(cfg.PerSecond*paceShare), 1),
		lease:   duty.NewLease(cfg, self, o.name), gate: duty.NewGate(), busy: map[duty.Subject]chan struct{}{},
	}
	h.addGauges()
	return h
}

// addGauges adds what the holder tells of its lease at any time.
func (h *DutyHolder) addGauges() {
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

// WriteMetrics writes the holder's figures in the Prometheus text form.
func (h *DutyHolder) WriteMetrics(w io.Writer) { h.metrics.WritePrometheus(w) }

// Held implements duty.Caller.
func (h *DutyHolder) Held() bool {
	_, ok := h.permission()
	return ok
}

// permission returns what a call may be made under now.
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

// Run takes and keeps the duty while this member leads, until ctx ends.
func (h *DutyHolder) Run(ctx context.Context) {
	for pause.For(ctx, dutyEvery) {
		h.step(ctx)
		h.logChange()
	}
}

// step does what the leader has to do now for the duty.
func (h *DutyHolder) step(ctx context.Context) {
	h.steps <- struct{}{}
	defer func() { <-h.steps }()
	if h.isStopped() || !h.group.Leads() || h.renewalDue() && !h.renew(ctx) {
		return
	}
	if patience, silent := h.silence(); silent > patience && h.transfer != nil {
		h.handOver(ctx, silent)
		return
	}
	if grant, why := h.next(); why != duty.ReasonNone {
		h.take(ctx, grant, why)
	}
}

func (h *DutyHolder) isStopped() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopped
}

// renewalDue reports whether a majority should confirm again that this member
// leads.
func (h *DutyHolder) renewalDue() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Due(uptime.Now(), h.cfg.Lease/dutyRenewals)
}

// renew has a majority confirm that this member leads, and learns what was
// granted up to then.
func (h *DutyHolder) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTime)
	defer cancel()
	asked := uptime.Now()
	if !h.group.Confirm(ctx) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease.Learn(h.group.Record(), uptime.Now())
	h.lease.Confirm(asked)
	return true
}

// next returns the grant that is to be taken now, and why.
func (h *DutyHolder) next() (duty.Grant, duty.Reason) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Next(uptime.Now(), h.gate.Reached())
}

// take has the group agree on a grant to this process.
func (h *DutyHolder) take(ctx context.Context, g duty.Grant, why duty.Reason) bool {
	ctx, cancel := context.WithTimeout(ctx, stepLimit)
	defer cancel()
	if !h.group.Agree(ctx, Command{Grant: &g}) {
		klog.InfoS("Duty not granted", "why", why)
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.lease.Record().First
	h.lease.Learn(h.group.Record(), uptime.Now())
	r := h.lease.Record()
	if r.First != before {
		h.gate.ForgetAnswers() // what an earlier time as holder saw
	}
	klog.InfoS("Duty granted", "why", why, "token", r.Token, "waits", r.Waits, "before", r.Before.Node, "recent", r.Recent)
	return true
}

// logChange logs that the duty was taken or lost since the last look, and now
// and then that it is kept.
func (h *DutyHolder) logChange() {
	held, leads := h.Held(), h.group.Leads()
	h.mu.Lock()
	defer h.mu.Unlock()
	if held == h.held && (!held || uptime.Since(h.logged) < keptEvery) {
		return
	}
	r := h.lease.Record()
	left := uptime.Until(h.lease.Until()).Milliseconds()
	switch {
	case held && h.held:
		klog.InfoS("Duty kept", "token", r.Token, "left_ms", left)
	case held:
		klog.InfoS("Duty taken", "token", r.Token, "before", r.Before.Node, "left_ms", left)
	default:
		klog.InfoS("Duty lost", "token", r.Token, "leads", leads, "left_ms", left, "released", h.stopped || h.draining, "holder", r.Holder.Node)
	}
	h.held, h.logged = held, uptime.Now()
}
