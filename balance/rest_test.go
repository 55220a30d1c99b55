package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// coolingTracker returns a tracker of two targets, of which the first is in cooldown.
func coolingTracker(t *testing.T, d time.Duration) (tracker *Tracker, cooling *Target, list []discovery.Target) {
	t.Helper()
	tracker = NewTracker(WithSeed(1))
	list = []discovery.Target{
		{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Slots: 8, Born: 1000},
		{ID: "i-2", Service: "s", Address: "10.0.0.2:80", Slots: 8, Born: 1000},
	}
	tracker.Update(list)
	cooling = tracker.byID["i-1"]
	cooling.StartCooldown(d)
	return tracker, cooling, list
}

// selectedIDs returns the IDs selected by a hundred requests.
func selectedIDs(tracker *Tracker) map[string]bool {
	ids := map[string]bool{}
	for range 100 {
		if target := tracker.Pick(Choice{Service: "s"}); target != nil {
			ids[target.ID] = true
		}
	}
	return ids
}

func TestCooldownOutlastsOtherUpdates(t *testing.T) {
	tracker, cooling, list := coolingTracker(t, time.Minute)
	cooling.RecordSuccess()
	cooling.RecordLoad(Load{Slots: 8})
	cooling.RecordResponse()
	cooling.StartCooldown(time.Second)
	tracker.Update(list)
	require.Equal(t, map[string]bool{"i-2": true}, selectedIDs(tracker))
	require.False(t, cooling.Admit())
	require.InDelta(t, 60, cooling.cooldown.remaining(uptime.Now()).Seconds(), 1)
	require.False(t, cooling.Usable())
	require.False(t, cooling.Lost(), "its copies still exist")
	require.Equal(t, 1, tracker.CountInCooldown())
}

// A corrupt entry or a stale list may lack a target for a moment.
func TestBrieflyDelistedTargetKeepsCooldown(t *testing.T) {
	tracker, cooling, list := coolingTracker(t, time.Minute)
	tracker.byID["i-2"].RecordDraining()
	tracker.Update(nil)
	tracker.Update(list)
	require.Empty(t, selectedIDs(tracker))
	require.Same(t, cooling, tracker.byID["i-1"], "messages to active runs still apply")
	t.Cleanup(uptime.Pretend(delistedTTL + time.Minute))
	tracker.Update(nil)
	tracker.Update(nil)
	require.Len(t, tracker.delisted, 2)
	t.Cleanup(uptime.Pretend(delistedTTL + time.Minute))
	tracker.Update(nil)
	require.Empty(t, tracker.delisted, "delisted targets expire")
}

func TestRestartedTargetHasNoCooldown(t *testing.T) {
	for _, missing := range []bool{false, true} {
		tracker, _, list := coolingTracker(t, time.Minute)
		tracker.byID["i-2"].RecordDraining()
		if missing {
			tracker.Update(nil)
		}
		list[0].Born, list[1].Born = 2000, 2000
		tracker.Update(list)
		require.Equal(t, map[string]bool{"i-1": true, "i-2": true}, selectedIDs(tracker))
	}
}

func TestCooldownElapsesDuringSuspension(t *testing.T) {
	tracker, cooling, _ := coolingTracker(t, 3*time.Second)
	t.Cleanup(uptime.Pretend(4 * time.Second))
	require.True(t, cooling.Admit())
	require.Zero(t, tracker.CountInCooldown())
}

// After a cooldown a target must get one probe request, and others only once that was
// not rejected.
func TestSingleProbeAfterCooldown(t *testing.T) {
	tracker, cooling, _ := coolingTracker(t, time.Second)
	t.Cleanup(uptime.Pretend(2 * time.Second))
	require.True(t, cooling.Admit())
	require.False(t, cooling.Admit(), "the probe is in flight")
	require.Equal(t, map[string]bool{"i-2": true}, selectedIDs(tracker))
	cooling.RecordResponse()
	require.True(t, cooling.Admit())
	require.True(t, cooling.Admit())

	cooling.StartCooldown(time.Second)
	t.Cleanup(uptime.Pretend(2 * time.Second))
	require.True(t, cooling.Admit())
	cooling.StartCooldown(time.Second)
	require.False(t, cooling.Admit(), "it requested another cooldown")
	t.Cleanup(uptime.Pretend(2 * time.Second))
	require.True(t, cooling.Admit())
	t.Cleanup(uptime.Pretend(2 * probeTimeout))
	require.True(t, cooling.Admit(), "an unanswered probe blocks others only briefly")
}

func TestCooldownLeftIsTheShortestCooldown(t *testing.T) {
	tracker, _, _ := coolingTracker(t, time.Minute)
	require.Zero(t, tracker.CooldownLeft("s", nil), "one target is not in cooldown")
	require.Zero(t, tracker.CooldownLeft("unknown", nil))
	other := tracker.byID["i-2"]
	other.StartCooldown(30 * time.Second)
	require.InDelta(t, 30, tracker.CooldownLeft("s", nil).Seconds(), 1)
	require.InDelta(t, 60, tracker.CooldownLeft("s", func(t *Target) bool { return t == other }).Seconds(), 1)
	other.RecordDraining()
	require.InDelta(t, 60, tracker.CooldownLeft("s", nil).Seconds(), 1, "a draining target does not become available again")
}
