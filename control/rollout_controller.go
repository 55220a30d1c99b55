package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/rollout"
	"k8s.io/klog/v2"
)

const (
	rolloutInterval          = 100 * time.Millisecond // between evaluations of reports
	progressInterval         = 1 * time.Second        // between commits of the elapsed time
	proposeTimeout           = 2 * time.Second        // per command
	leadershipConfirmTimeout = 500 * time.Millisecond
	rolloutResyncTime        = 3 * rolloutReportInterval // in which nodes resend their reports to a new leader
)

// RolloutController advances roll-outs on the leader: it evaluates the reports of
// nodes, issues permits and decides when a roll-out ends. Reports are not
// replicated; nodes resend them to a new leader.
type RolloutController struct {
	member      *consensus.Member
	server      *Server
	state       *State
	targets     *TargetList
	bounds      rollout.Bounds
	policy      rollout.Policy
	listVersion uint64 // newest list whose services all have committed versions; used only by Run

	mu             sync.Mutex
	evaluatorID    uint64    // identifies this term's evaluations; 0 while not leading
	evaluatorSince time.Time // when evaluatorID was set
	confirmedAt    time.Time
	aggregator     *rollout.Aggregator
	evaluations    map[string]*evaluation // by service
}

// evaluation is the leader's state of one running roll-out.
type evaluation struct {
	number        uint64
	evaluator     *rollout.Evaluator
	step          rollout.Step
	verdict       rollout.Verdict
	late          map[string]time.Duration // see rollout.Permit
	shiftedAt     time.Duration            // elapsed time at which all requests moved to the new version
	lastChange    time.Time
	issuesPermits bool // the stage is committed
	loggedAt      time.Time
}

// ControllerOption configures a RolloutController.
type ControllerOption func(*RolloutController)

// WithRolloutPolicy sets the policy that evaluates answers.
func WithRolloutPolicy(p rollout.Policy) ControllerOption {
	return func(c *RolloutController) { c.policy = p }
}

// NewRolloutController returns a RolloutController and registers it with a
// member's server.
func NewRolloutController(m *consensus.Member, s *Server, bounds rollout.Bounds, opts ...ControllerOption) *RolloutController {
	c := &RolloutController{member: m, server: s, state: s.state, targets: s.targets, bounds: bounds, policy: rollout.ChangePoint}
	for _, opt := range opts {
		opt(c)
	}
	s.rollouts = c
	return c
}

// Run advances roll-outs while this member leads, until ctx is done.
func (c *RolloutController) Run(ctx context.Context) {
	for pause.For(ctx, rolloutInterval) {
		if !c.member.Leads() {
			c.stepDown()
			c.listVersion = 0
			continue
		}
		c.recordVersions(ctx)
		if view := c.state.versions(); view.Running() && c.confirm(ctx) && c.resynced() {
			c.advanceAll(ctx, view)
		}
	}
}

// stepDown drops the evaluations when this member no longer leads.
func (c *RolloutController) stepDown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evaluatorID, c.aggregator, c.evaluations = 0, nil, nil
}

// confirm has a majority confirm that this member still leads.
func (c *RolloutController) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, leadershipConfirmTimeout)
	defer cancel()
	requestedAt := uptime.Now()
	if !c.member.Confirm(ctx) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt = requestedAt
	c.startEvaluations()
	return true
}

// startEvaluations starts new evaluations after a majority has confirmed that this
// member leads. The caller holds the mutex.
func (c *RolloutController) startEvaluations() {
	if c.evaluatorID == 0 {
		c.evaluatorID, c.evaluatorSince = rand.Uint64()|1, uptime.Now()
		c.aggregator, c.evaluations = rollout.NewAggregator(), map[string]*evaluation{}
	}
}

// resynced reports whether nodes have had time to resend their reports to this
// leader.
func (c *RolloutController) resynced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uptime.Since(c.evaluatorSince) >= rolloutResyncTime
}

// recordVersions commits the versions that a service's targets have before any
// roll-out of it.
func (c *RolloutController) recordVersions(ctx context.Context) {
	version, list := c.targets.current()
	if version == c.listVersion {
		return
	}
	view := c.state.versions()
	complete := true
	for service, versions := range versionsOf(list) {
		if _, known := view.Of(service); known {
			continue
		}
		_, ok := c.server.proposeOwn(ctx, Command{Known: &KnownVersions{Service: service, Versions: versions}})
		klog.InfoS("Versions noted", "service", service, "versions", versions, "agreed", ok)
		complete = complete && ok
	}
	if complete {
		c.listVersion = version
	}
}

// versionsOf returns the sorted versions of a list of targets, by service. Targets
// without a version are skipped.
func versionsOf(list []discovery.Target) map[string][]string {
	versions := map[string][]string{}
	for _, t := range list {
		if t.Version != "" && !slices.Contains(versions[t.Service], t.Version) {
			versions[t.Service] = append(versions[t.Service], t.Version)
		}
	}
	for _, of := range versions {
		slices.Sort(of)
	}
	return versions
}

// advanceAll evaluates all running roll-outs and commits their next steps.
func (c *RolloutController) advanceAll(ctx context.Context, view rollout.View) {
	for _, rec := range view.Records {
		if rec.State != rollout.Running {
			continue
		}
		step, changes, elapsed := c.evaluate(rec)
		if !changes {
			continue
		}
		command := RolloutStep{Service: rec.Service, Number: rec.Number, State: step.State, Stage: step.Stage, Elapsed: elapsed, Reason: step.Reason}
		if r, ok := c.server.proposeOwn(ctx, Command{Step: &command}); ok {
			c.stepCommitted(rec, r.Rollout)
		}
	}
}

// evaluate applies the policy to a roll-out. It returns the next step, whether it is to
// be committed, and the elapsed time. An unchanged step is committed every
// progressInterval.
func (c *RolloutController) evaluate(rec rollout.Record) (step rollout.Step, changes bool, elapsed time.Duration) {
	elapsed = c.state.rolloutElapsed(rec)
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.evaluationOf(rec, elapsed)
	t.verdict, t.late = t.evaluator.Verdict(), t.evaluator.SlowThresholds()
	situation := c.situation(rec, t, elapsed)
	t.step = c.bounds.Plan(situation)
	changes = t.step.State != rollout.Running || t.step.Stage != rec.Stage || uptime.Since(t.lastChange) >= progressInterval
	t.issuesPermits = t.step.State == rollout.Running && t.step.Stage == rec.Stage
	if changes {
		t.lastChange = uptime.Now()
	}
	t.logProgress(rec, situation)
	return t.step, changes, elapsed
}

// evaluationOf returns the evaluation of a running roll-out, new if there is none.
// The caller holds the mutex.
func (c *RolloutController) evaluationOf(rec rollout.Record, elapsed time.Duration) *evaluation {
	t := c.evaluations[rec.Service]
	if t == nil || t.number != rec.Number {
		t = &evaluation{number: rec.Number, evaluator: rollout.NewEvaluator(c.policy, rec.Duration), lastChange: uptime.Now()}
		if rec.Stage == rollout.StageShift {
			t.shiftedAt = elapsed // a new leader knows only that it was before now
		}
		c.evaluations[rec.Service] = t
		c.aggregator.Forget(rec.Service)
	}
	return t
}

// situation collects the input of a plan. The caller holds the mutex.
func (c *RolloutController) situation(rec rollout.Record, t *evaluation, elapsed time.Duration) rollout.PlanInput {
	s := rollout.PlanInput{Record: rec, Elapsed: elapsed, ShiftedAt: t.shiftedAt, Sums: c.aggregator.Sums(rec.Service), Verdict: t.verdict}
	_, list := c.targets.current()
	for _, target := range list {
		if target.Service != rec.Service || target.State == discovery.TargetDraining {
			continue
		}
		if target.Version == rec.Target {
			s.NewSlots += target.Slots
		} else {
			s.OldSlots += target.Slots
		}
	}
	for _, counts := range s.Sums {
		s.Streams = s.Streams || len(counts.Pace) > 0
	}
	return s
}

// stepCommitted updates the evaluation after a step was committed.
func (c *RolloutController) stepCommitted(before, now rollout.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.evaluations[now.Service]
	if t == nil || t.number != now.Number {
		return
	}
	if now.State == rollout.Running && now.Stage != before.Stage {
		t.shiftedAt = now.Elapsed
	}
	if now.State != before.State || now.Stage != before.Stage {
		klog.InfoS("Roll-out goes on", "service", now.Service, "number", now.Number, "version", now.Target, "state", now.State, "stage", now.Stage,
			"elapsed_ms", now.Elapsed.Milliseconds(), "why", now.Reason, "answers", t.verdict.Answers, "excess", t.verdict.Excess,
			"score", t.verdict.Score, "evidence", t.verdict.Evidence)
	}
}

// rolloutLogInterval is the time between log lines about an unchanged roll-out.
const rolloutLogInterval = 1 * time.Second

func (t *evaluation) logProgress(rec rollout.Record, s rollout.PlanInput) {
	if uptime.Since(t.loggedAt) < rolloutLogInterval {
		return
	}
	t.loggedAt = uptime.Now()
	klog.InfoS("Roll-out weighed", "service", rec.Service, "number", rec.Number, "version", rec.Target, "stage", rec.Stage,
		"elapsed_ms", s.Elapsed.Milliseconds(), "duration_ms", rec.Duration.Milliseconds(), "newPlaces", s.NewSlots, "oldPlaces", s.OldSlots,
		"answers", t.verdict.Answers, "excess", t.verdict.Excess, "score", t.verdict.Score, "evidence", t.verdict.Evidence)
}

// report adds a node's report and returns the node's permits; judge is 0 if this member
// evaluates no reports. Cells meant for another evaluator are dropped.
func (c *RolloutController) report(args ReportArgs) (judge uint64, permits []rollout.Permit) {
	view := c.state.versions()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evaluatorID == 0 {
		return 0, nil
	}
	if args.Judge != c.evaluatorID {
		// The reports to an earlier evaluator are missing; the node resends everything
		// next time.
		args.Cells = nil
	}
	newCells := c.aggregator.Merge(args.Node, args.Life, args.Cells)
	permitLife := rollout.PermitLife - uptime.Since(c.confirmedAt)
	for _, rec := range view.Records {
		if rec.State != rollout.Running {
			continue
		}
		elapsed := c.state.rolloutElapsed(rec)
		t := c.evaluationOf(rec, elapsed)
		t.evaluator.Add(elapsed, rec.Target, cellsOf(newCells, rec.Service))
		if t.issuesPermits && permitLife > 0 {
			permits = append(permits, rollout.Permit{
				Service: rec.Service, Number: rec.Number, Shares: t.step.Shares, Other: t.step.Other, Focus: t.step.Focus, Late: t.late, For: permitLife,
			})
		}
	}
	return c.evaluatorID, permits
}

func cellsOf(cells []rollout.Cell, service string) []rollout.Cell {
	var own []rollout.Cell
	for _, cell := range cells {
		if cell.Key.Service == service {
			own = append(own, cell)
		}
	}
	return own
}

// results returns this leader's counts and verdict for a roll-out.
func (c *RolloutController) results(rec rollout.Record) ([]rollout.Cell, rollout.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.evaluations[rec.Service]
	if t == nil || t.number != rec.Number {
		return nil, rollout.Verdict{}
	}
	var cells []rollout.Cell
	for key, counts := range c.aggregator.Sums(rec.Service) {
		cells = append(cells, rollout.Cell{Key: key, Counts: counts})
	}
	return cells, t.verdict
}
