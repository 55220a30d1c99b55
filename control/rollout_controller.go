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

// Times of the control of roll-outs.
const (
	controlEvery = 100 * time.Millisecond // between two looks at what was reported
	noteEvery    = 1 * time.Second        // the time that has passed is noted in the log
	stepLimit    = 2 * time.Second        // of one command
	confirmTime  = 500 * time.Millisecond // bound on the word that this member still leads
	informTime   = 3 * reportEvery        // in which nodes tell a new leader what they told the old one
)

// RolloutController takes roll-outs further on the leader: it weighs what nodes
// report, hands out permits, and says when a roll-out has ended. What it weighs
// is not agreed on: nodes tell a new leader everything again.
type RolloutController struct {
	member *consensus.Member
	server *Server
	state  *State
	roster *Roster
	bounds rollout.Bounds
	policy rollout.Policy
	listed uint64 // version of the list whose services' versions are all known; used by Run alone

	mu          sync.Mutex
	judge       uint64    // names this member's time as leader; 0 while it does not lead
	began       time.Time // when that began
	confirmed   time.Time
	tally       *rollout.Tally
	evaluations map[string]*evaluation // by service
}

// evaluation is the leader's view of one running roll-out.
type evaluation struct {
	number   uint64
	judge    *rollout.Judge
	step     rollout.Step
	verdict  rollout.Verdict
	late     map[string]time.Duration // see rollout.Permit
	shifted  time.Duration            // since the order, when all requests went to the new version
	notedAt  time.Time
	permits  bool // the step is agreed on, so permits follow it
	loggedAt time.Time
}

// ControllerOption sets how a RolloutController works.
type ControllerOption func(*RolloutController)

// WithRolloutPolicy sets how answers are weighed.
func WithRolloutPolicy(p rollout.Policy) ControllerOption {
	return func(c *RolloutController) { c.policy = p }
}

// NewRolloutController returns a controller for a member's server, which
// answers about roll-outs from then on.
func NewRolloutController(m *consensus.Member, s *Server, bounds rollout.Bounds, opts ...ControllerOption) *RolloutController {
	c := &RolloutController{member: m, server: s, state: s.state, roster: s.roster, bounds: bounds, policy: rollout.ChangePoint}
	for _, opt := range opts {
		opt(c)
	}
	s.rollouts = c
	return c
}

// Run controls roll-outs while this member leads, until ctx ends.
func (c *RolloutController) Run(ctx context.Context) {
	for pause.For(ctx, controlEvery) {
		if !c.member.Leads() {
			c.resign()
			c.listed = 0
			continue
		}
		c.noteVersions(ctx)
		if view := c.state.versions(); view.Running() && c.confirm(ctx) && c.informed() {
			c.controlAll(ctx, view)
		}
	}
}

// resign forgets what was weighed: another leader does that now.
func (c *RolloutController) resign() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.judge, c.tally, c.evaluations = 0, nil, nil
}

// confirm has a majority say that this member still leads.
func (c *RolloutController) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTime)
	defer cancel()
	asked := uptime.Now()
	if !c.member.Confirm(ctx) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed = asked
	c.begin()
	return true
}

// begin takes over the weighing, once a majority has confirmed that this
// member leads. The caller holds the mutex.
func (c *RolloutController) begin() {
	if c.judge == 0 {
		c.judge, c.began = rand.Uint64()|1, uptime.Now()
		c.tally, c.evaluations = rollout.NewTally(), map[string]*evaluation{}
	}
}

// informed reports whether nodes have had the time to tell this leader all that
// they told another one before.
func (c *RolloutController) informed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uptime.Since(c.began) >= informTime
}

// noteVersions has the group agree on the versions that the targets of a
// service have before any roll-out of it.
func (c *RolloutController) noteVersions(ctx context.Context) {
	version, list := c.roster.held()
	if version == c.listed {
		return
	}
	view := c.state.versions()
	complete := true
	for service, versions := range versionsOf(list) {
		if _, known := view.Of(service); known {
			continue
		}
		_, ok := c.server.agree(ctx, Command{Known: &KnownVersions{Service: service, Versions: versions}})
		klog.InfoS("Versions noted", "service", service, "versions", versions, "agreed", ok)
		complete = complete && ok
	}
	if complete {
		c.listed = version
	}
}

// versionsOf returns the versions of a list of targets, by service, in order.
// Targets that tell none are left out.
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

// controlAll takes every running roll-out a step further.
func (c *RolloutController) controlAll(ctx context.Context, view rollout.View) {
	for _, rec := range view.Records {
		if rec.State != rollout.Running {
			continue
		}
		step, changes, elapsed := c.look(rec)
		if !changes {
			continue
		}
		command := RolloutStep{Service: rec.Service, Number: rec.Number, State: step.State, Stage: step.Stage, Elapsed: elapsed, Reason: step.Reason}
		if r, ok := c.server.agree(ctx, Command{Step: &command}); ok {
			c.agreed(rec, r.Rollout)
		}
	}
}

// look weighs a roll-out, and says what to do next and whether that has to be
// agreed on.
func (c *RolloutController) look(rec rollout.Record) (step rollout.Step, changes bool, elapsed time.Duration) {
	elapsed = c.state.rolloutElapsed(rec)
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.evaluationOf(rec, elapsed)
	t.verdict, t.late = t.judge.Verdict(), t.judge.Late()
	situation := c.situation(rec, t, elapsed)
	t.step = c.bounds.Plan(situation)
	changes = t.step.State != rollout.Running || t.step.Stage != rec.Stage || uptime.Since(t.notedAt) >= noteEvery
	t.permits = t.step.State == rollout.Running && t.step.Stage == rec.Stage
	if changes {
		t.notedAt = uptime.Now()
	}
	t.log(rec, situation)
	return t.step, changes, elapsed
}

// evaluationOf returns what is known of a running roll-out. The caller holds the
// mutex.
func (c *RolloutController) evaluationOf(rec rollout.Record, elapsed time.Duration) *evaluation {
	t := c.evaluations[rec.Service]
	if t == nil || t.number != rec.Number {
		t = &evaluation{number: rec.Number, judge: rollout.NewJudge(c.policy, rec.Duration), notedAt: uptime.Now()}
		if rec.Stage == rollout.StageShift {
			t.shifted = elapsed // a new leader: at the latest now
		}
		c.evaluations[rec.Service] = t
		c.tally.Forget(rec.Service)
	}
	return t
}

// situation gathers what a plan goes by. The caller holds the mutex.
func (c *RolloutController) situation(rec rollout.Record, t *evaluation, elapsed time.Duration) rollout.Situation {
	s := rollout.Situation{Record: rec, Elapsed: elapsed, ShiftedAt: t.shifted, Sums: c.tally.Sums(rec.Service), Verdict: t.verdict}
	_, list := c.roster.held()
	for _, target := range list {
		if target.Service != rec.Service || target.State == discovery.TargetDraining {
			continue
		}
		if target.Version == rec.Target {
			s.NewPlaces += target.Slots
		} else {
			s.OldPlaces += target.Slots
		}
	}
	for _, counts := range s.Sums {
		s.Streams = s.Streams || len(counts.Pace) > 0
	}
	return s
}

// agreed notes what the group has agreed on.
func (c *RolloutController) agreed(before, now rollout.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.evaluations[now.Service]
	if t == nil || t.number != now.Number {
		return
	}
	if now.State == rollout.Running && now.Stage != before.Stage {
		t.shifted = now.Elapsed
	}
	if now.State != before.State || now.Stage != before.Stage {
		klog.InfoS("Roll-out goes on", "service", now.Service, "number", now.Number, "version", now.Target, "state", now.State, "stage", now.Stage,
			"elapsed_ms", now.Elapsed.Milliseconds(), "why", now.Reason, "answers", t.verdict.Answers, "excess", t.verdict.Excess,
			"score", t.verdict.Score, "evidence", t.verdict.Evidence)
	}
}

// logEvery bounds the lines about a roll-out that goes on as before.
const logEvery = 1 * time.Second

func (t *evaluation) log(rec rollout.Record, s rollout.Situation) {
	if uptime.Since(t.loggedAt) < logEvery {
		return
	}
	t.loggedAt = uptime.Now()
	klog.InfoS("Roll-out weighed", "service", rec.Service, "number", rec.Number, "version", rec.Target, "stage", rec.Stage,
		"elapsed_ms", s.Elapsed.Milliseconds(), "duration_ms", rec.Duration.Milliseconds(), "newPlaces", s.NewPlaces, "oldPlaces", s.OldPlaces,
		"answers", t.verdict.Answers, "excess", t.verdict.Excess, "score", t.verdict.Score, "evidence", t.verdict.Evidence)
}

// report takes what a node saw, and returns its permits.
func (c *RolloutController) report(args ReportArgs) (judge uint64, permits []rollout.Permit) {
	view := c.state.versions()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.judge == 0 {
		return 0, nil
	}
	if args.Judge != c.judge {
		// What the node told another judge is missing: it tells all next time.
		args.Cells = nil
	}
	news := c.tally.Take(args.Node, args.Life, args.Cells)
	life := rollout.PermitLife - uptime.Since(c.confirmed)
	for _, rec := range view.Records {
		if rec.State != rollout.Running {
			continue
		}
		elapsed := c.state.rolloutElapsed(rec)
		t := c.evaluationOf(rec, elapsed)
		t.judge.Take(elapsed, rec.Target, cellsOf(news, rec.Service))
		if t.permits && life > 0 {
			permits = append(permits, rollout.Permit{
				Service: rec.Service, Number: rec.Number, Shares: t.step.Shares, Other: t.step.Other, Focus: t.step.Focus, Late: t.late, For: life,
			})
		}
	}
	return c.judge, permits
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

// weighed returns what this leader knows of a roll-out.
func (c *RolloutController) weighed(rec rollout.Record) ([]rollout.Cell, rollout.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.evaluations[rec.Service]
	if t == nil || t.number != rec.Number {
		return nil, rollout.Verdict{}
	}
	var cells []rollout.Cell
	for key, counts := range c.tally.Sums(rec.Service) {
		cells = append(cells, rollout.Cell{Key: key, Counts: counts})
	}
	return cells, t.verdict
}
