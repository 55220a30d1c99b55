package control

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/internal/pause"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// Times of the duty.
const (
	dutyEvery = 100 * time.Millisecond // between two looks at what the leader has to do
	// dutyRenewals is how many times a lease is renewed within its length, so
	// that a few answers may be lost before a call has to wait for one.
	dutyRenewals = 8
	// callLimit bounds the wait for an answer: with it a call that got none
	// comes again several times before the counts of a window are due.
	callLimit = 1500 * time.Millisecond
	// silentPatience is for how long the platform may be silent to the first
	// holder before the duty moves: a restart of the platform moves nothing.
	silentPatience = 4 * time.Second
	// mostPatience bounds it where several have tried in vain: the platform is
	// down for all, and each move costs a change of leader.
	mostPatience = 64 * time.Second
	keptEvery    = 10 * time.Second                 // between two lines about a duty that is kept
	drainEvery   = 10 * time.Millisecond            // between two looks for calls under way
	drainLimit   = callLimit + 500*time.Millisecond // for calls under way, before the duty is released
)

// loggedContent bounds how much of a call's content a log line holds, in bytes:
// the counts of 10,000 accounts would fill the queue of lines.
const loggedContent = 80

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
		return time.Until(p.Until).Seconds()
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
	return h.lease.Permission(time.Now())
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
	return h.lease.Due(time.Now(), h.cfg.Lease/dutyRenewals)
}

// renew has a majority confirm that this member leads, and learns what was
// granted up to then.
func (h *DutyHolder) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTime)
	defer cancel()
	asked := time.Now()
	if !h.group.Confirm(ctx) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease.Learn(h.group.Record(), time.Now())
	h.lease.Confirm(asked)
	return true
}

// next returns the grant that is to be taken now, and why.
func (h *DutyHolder) next() (duty.Grant, duty.Reason) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Next(time.Now(), h.gate.Reached())
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
	h.lease.Learn(h.group.Record(), time.Now())
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
	if held == h.held && (!held || time.Since(h.logged) < keptEvery) {
		return
	}
	r := h.lease.Record()
	left := time.Until(h.lease.Until()).Milliseconds()
	switch {
	case held && h.held:
		klog.InfoS("Duty kept", "token", r.Token, "left_ms", left)
	case held:
		klog.InfoS("Duty taken", "token", r.Token, "before", r.Before.Node, "left_ms", left)
	default:
		klog.InfoS("Duty lost", "token", r.Token, "leads", leads, "left_ms", left, "released", h.stopped || h.draining, "holder", r.Holder.Node)
	}
	h.held, h.logged = held, time.Now()
}

// Release gives the duty up for good, as before a planned stop, and makes
// another member the leader where that can be done: the next holder need wait
// neither for the lease to end nor for an election.
func (h *DutyHolder) Release(ctx context.Context) {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.steps <- struct{}{}
	defer func() { <-h.steps }()
	if !h.group.Leads() {
		return
	}
	h.release(ctx, false)
	h.logChange()
	if h.transfer != nil {
		h.transfer.HandOver(ctx)
	}
}

// release waits for the calls under way and has the group note that none comes
// from this process any more. The caller holds steps, and
// no call can begin.
func (h *DutyHolder) release(ctx context.Context, unreachable bool) {
	idle := h.drain(ctx)
	h.mu.Lock()
	granted, token := h.lease.Granted(), h.lease.Record().Token
	h.lease.End(token)
	pending := !idle || h.gate.Pending(time.Now(), h.cfg.Lease)
	h.mu.Unlock()
	if !granted {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stepLimit)
	defer cancel()
	ok := h.group.Agree(ctx, Command{Release: &duty.Release{Token: token, Pending: pending, Unreachable: unreachable}})
	klog.InfoS("Duty released", "token", token, "pending", pending, "unreachable", unreachable, "agreed", ok)
}

// drain waits until no call is under way.
func (h *DutyHolder) drain(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	for h.underWay() > 0 {
		if !pause.For(ctx, drainEvery) {
			return false
		}
	}
	return true
}

func (h *DutyHolder) underWay() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.busy)
}

// silence returns for how long the platform has not answered, and after how
// long the duty moves. The patience doubles with each machine that gave the
// duty up in vain, so that leadership does not wander while the platform is
// down for all.
func (h *DutyHolder) silence() (patience, silent time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	patience = silentPatience
	for range h.lease.Record().Unreachable {
		patience = min(2*patience, mostPatience)
	}
	return patience, h.gate.Silent(time.Now())
}

// handOver makes another member the leader, as this one can't reach the
// platform while a majority of the group hears it.
func (h *DutyHolder) handOver(ctx context.Context, silent time.Duration) {
	h.setDraining(true)
	defer h.setDraining(false)
	h.release(ctx, true)
	ctx, cancel := context.WithTimeout(ctx, stepLimit)
	defer cancel()
	ok := h.transfer.HandOver(ctx)
	klog.InfoS("Platform is silent, leadership handed over", "silent_ms", silent.Milliseconds(), "handedOver", ok)
}

func (h *DutyHolder) setDraining(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = on
	h.gate.ForgetAnswers()
}

// Do implements duty.Caller. It makes one try, and NotSent is its answer where
// none may be made now: callers compare what they want with what is, and come
// again.
func (h *DutyHolder) Do(ctx context.Context, c duty.Call) duty.Outcome {
	if !h.begin(ctx, c.Subject) {
		return duty.NotSent
	}
	defer h.end(c.Subject)
	if !h.ready() || h.limiter.Wait(ctx) != nil || !h.ready() {
		return duty.NotSent
	}
	p, ok := h.permissionFor(ctx, c)
	if !ok {
		return duty.NotSent
	}
	return h.send(ctx, c, p)
}

// begin waits until no other call on the subject is under way.
func (h *DutyHolder) begin(ctx context.Context, s duty.Subject) bool {
	for {
		h.mu.Lock()
		if h.draining || h.stopped {
			h.mu.Unlock()
			return false
		}
		other, ok := h.busy[s]
		if !ok {
			h.busy[s] = make(chan struct{})
			h.mu.Unlock()
			return true
		}
		h.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
			return false
		}
	}
}

func (h *DutyHolder) end(s duty.Subject) {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.busy[s])
	delete(h.busy, s)
}

// ready reports whether calls may be made now, by the lease and by what came of
// earlier ones.
func (h *DutyHolder) ready() bool {
	if !h.Held() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate.Pause(time.Now()) == 0
}

// permissionFor returns what a call may be made under, with a new grant where
// it needs one, and time for its answer where that can be had.
func (h *DutyHolder) permissionFor(ctx context.Context, c duty.Call) (duty.Permission, bool) {
	if h.needsToken(c) && !h.take(ctx, h.lease.Renew(), duty.ReasonNewContent) {
		return duty.Permission{}, false
	}
	p, ok := h.permission()
	if !ok || time.Until(p.Until) > callLimit {
		return p, ok
	}
	h.renew(ctx)
	return h.permission()
}

func (h *DutyHolder) needsToken(c duty.Call) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate.NeedsToken(c, h.lease.Record().Token)
}

// send makes the call. Where no answer came it is given up before another
// member may act, so that what the network still holds of it is dropped.
func (h *DutyHolder) send(ctx context.Context, c duty.Call, p duty.Permission) duty.Outcome {
	sent := time.Now()
	end := sent.Add(callLimit)
	if last := p.Until.Add(h.cfg.Slack); last.Before(end) {
		end = last
	}
	callCtx, cancel := context.WithDeadline(ctx, end)
	outcome := c.Send(callCtx, p)
	cancel()
	h.note(c, p, outcome, sent)
	if outcome == duty.Conflict {
		outcome = h.resolve(ctx, p)
	}
	if outcome == duty.Fenced {
		h.mu.Lock()
		h.lease.End(p.Token)
		h.mu.Unlock()
	}
	h.metrics.GetOrCreateCounter(fmt.Sprintf("walnutramp_duty_calls_total{outcome=%q}", outcome)).Inc()
	klog.InfoS("Duty call", "subject", c.Subject, "content", c.Content[:min(len(c.Content), loggedContent)], "token", p.Token, "outcome", outcome, "ms", time.Since(sent).Milliseconds())
	return outcome
}

// note takes what came of a call.
func (h *DutyHolder) note(c duty.Call, p duty.Permission, o duty.Outcome, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gate.Note(c, p, o, sent, time.Now())
}

// resolve says what a Conflict was. While a majority says that this member
// leads and its grants are the newest, nobody has had a higher token, so the
// call was rejected for what it asked.
func (h *DutyHolder) resolve(ctx context.Context, p duty.Permission) duty.Outcome {
	if !h.renew(ctx) {
		return duty.Fenced
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.lease.Record(); h.lease.Granted() && r.First <= p.Token {
		return duty.Rejected
	}
	return duty.Fenced
}
