package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testBounds = Bounds{Share: 0.1, Slack: 50, StopWithin: 5 * time.Second}

// planInput returns a plain service with 270 requests/s on two routes (217 and
// 53), of which the new version gets 7 and 6.
func planInput(elapsed time.Duration) PlanInput {
	s := elapsed.Seconds()
	counts := func(perS float64) Counts { return Counts{Sent: uint32(perS * s)} }
	return PlanInput{
		Record:  Record{Service: "s", Number: 1, Target: "v2", State: Running, Duration: testDuration},
		Elapsed: elapsed, NewSlots: 24, OldSlots: 24, Verdict: Verdict{Answers: 5 * s, Score: -1},
		Sums: map[Key]Counts{
			{Service: "s", Route: "often", Version: "v1"}:  counts(210),
			{Service: "s", Route: "often", Version: "v2"}:  counts(7),
			{Service: "s", Route: "seldom", Version: "v1"}: counts(47),
			{Service: "s", Route: "seldom", Version: "v2"}: counts(6),
		},
	}
}

func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*PlanInput)
		at     time.Duration
		state  State
		stage  Stage
		reason string
	}{
		{"canary", func(*PlanInput) {}, 5 * time.Second, Running, StageCanary, ""},
		{"shift", func(*PlanInput) {}, 11200 * time.Millisecond, Running, StageShift, "no evidence"},
		{"bad", func(s *PlanInput) { s.Verdict.Bad, s.Verdict.Evidence = true, "answers failed" }, 5 * time.Second, RolledBack, StageCanary, "answers failed"},
		{"many bad answers", func(s *PlanInput) { s.Verdict.Excess = 25 }, 5 * time.Second, RolledBack, StageCanary, "too many"},
		{"doubtful until the end", func(s *PlanInput) { s.Verdict.Doubtful = true }, 11700 * time.Millisecond, RolledBack, StageCanary, "doubtful"},
		{"doubtful", func(s *PlanInput) { s.Verdict.Doubtful = true }, 11 * time.Second, Running, StageCanary, ""},
		{"no targets yet", func(s *PlanInput) { s.NewSlots = 0 }, 5 * time.Second, Running, StageCanary, ""},
		{"no targets", func(s *PlanInput) { s.NewSlots = 0 }, 11700 * time.Millisecond, RolledBack, StageCanary, "no target"},
		{"few targets", func(s *PlanInput) { s.NewSlots = 6 }, 11700 * time.Millisecond, RolledBack, StageCanary, "too few targets"},
		{"targets started late", func(s *PlanInput) { s.Verdict.Answers = 3 }, 11700 * time.Millisecond, RolledBack, StageCanary, "too few answers"},
		{"done", func(s *PlanInput) { s.Record.Stage, s.ShiftedAt = StageShift, 10900*time.Millisecond }, 11700 * time.Millisecond, Completed, StageShift, "no evidence"},
		{"shift just started", func(s *PlanInput) { s.Record.Stage, s.ShiftedAt = StageShift, 11500*time.Millisecond }, 11700 * time.Millisecond, Running, StageShift, ""},
		{"bad in the shift", func(s *PlanInput) { s.Record.Stage, s.Verdict.Bad = StageShift, true }, 11 * time.Second, RolledBack, StageCanary, ""},
		{"doubtful at the end of the shift", func(s *PlanInput) { s.Record.Stage, s.Verdict.Doubtful = StageShift, true }, 11700 * time.Millisecond, RolledBack, StageCanary, "doubtful"},
		{"new leader without reports", func(s *PlanInput) { s.Sums, s.Verdict = nil, Verdict{} }, 5 * time.Second, Running, StageCanary, ""},
		{"past the deadline", func(*PlanInput) {}, time.Minute, RolledBack, StageCanary, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := planInput(c.at)
			c.change(&s)
			step := testBounds.Plan(s)
			require.Equal(t, c.state, step.State, step.Reason)
			require.Contains(t, step.Reason, c.reason)
			if step.State != RolledBack {
				require.Equal(t, c.stage, step.Stage)
			}
		})
	}
}

// Checks that the new version's requests stay within the bound up to the
// deadline, and that the low-traffic route is sampled as often as the other.
func TestCanaryStaysWithinBound(t *testing.T) {
	s := planInput(5 * time.Second)
	step := testBounds.Plan(s)
	often, seldom := 217*step.Shares["often"], 53*step.Shares["seldom"]
	require.InDelta(t, often, seldom, 1)
	canary := (often + seldom) * 11
	shift := 270 * (minShift + s.endMargin()).Seconds()
	require.Less(t, canary+shift, testBounds.Share*270*12+testBounds.Slack)
	require.Greater(t, canary, 40.0)
	s.Sums[Key{Service: "s", Route: "often", Version: "v2"}] = Counts{Sent: 400}
	require.Empty(t, testBounds.Plan(s).Shares, "the bound is exceeded")
}

func TestLowTrafficCanaryUsesSlack(t *testing.T) {
	s := planInput(5 * time.Second)
	s.Sums = map[Key]Counts{{Service: "s", Route: "r", Version: "v1"}: {Sent: 30}}
	s.Streams = true
	require.InDelta(t, maxCanaryShare, testBounds.Plan(s).Shares["r"], 0.15, "Slack must be used")
}
