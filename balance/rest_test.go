package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// restingTracker knows two targets of a service, of which one rests.
func restingTracker(t *testing.T, d time.Duration) (tracker *Tracker, resting *Target, list []discovery.Target) {
	t.Helper()
	tracker = NewTracker(WithSeed(1))
	list = []discovery.Target{
		{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Slots: 8, Born: 1000},
		{ID: "i-2", Service: "s", Address: "10.0.0.2:80", Slots: 8, Born: 1000},
	}
	tracker.Update(list)
	resting = tracker.byID["i-1"]
	resting.AskedForRest(d)
	return tracker, resting, list
}

// picked returns which targets are chosen for a hundred requests.
func picked(tracker *Tracker) map[string]bool {
	ids := map[string]bool{}
	for range 100 {
		if target := tracker.Pick(Choice{Service: "s"}); target != nil {
			ids[target.ID] = true
		}
	}
	return ids
}

func TestRestLastsWhateverElseIsHeard(t *testing.T) {
	tracker, resting, list := restingTracker(t, time.Minute)
	resting.Succeeded()
	resting.Told(Load{Slots: 8})
	resting.Answered()
	resting.AskedForRest(time.Second)
	tracker.Update(list)
	require.Equal(t, map[string]bool{"i-2": true}, picked(tracker))
	require.False(t, resting.Admit())
	require.InDelta(t, 60, resting.rest.left(uptime.Now()).Seconds(), 1)
	require.False(t, resting.Usable())
	require.False(t, resting.Lost(), "copies that it keeps are there")
	require.Equal(t, 1, tracker.Resting())
}

// An entry that another writer garbled, or a reading that lags, lacks a target for
// a moment.
func TestTargetThatTheListLacksForAMomentKeepsItsWishes(t *testing.T) {
	tracker, resting, list := restingTracker(t, time.Minute)
	tracker.byID["i-2"].SaidLeaving()
	tracker.Update(nil)
	tracker.Update(list)
	require.Empty(t, picked(tracker))
	require.Same(t, resting, tracker.byID["i-1"], "what is said to a run under way counts, too")
	t.Cleanup(uptime.Pretend(absentLife + time.Minute))
	tracker.Update(nil)
	tracker.Update(nil)
	require.Len(t, tracker.absent, 2)
	t.Cleanup(uptime.Pretend(absentLife + time.Minute))
	tracker.Update(nil)
	require.Empty(t, tracker.absent, "what is gone for good is forgotten")
}

func TestNewLifeOfATargetHasAskedForNothing(t *testing.T) {
	for _, missing := range []bool{false, true} {
		tracker, _, list := restingTracker(t, time.Minute)
		tracker.byID["i-2"].SaidLeaving()
		if missing {
			tracker.Update(nil)
		}
		list[0].Born, list[1].Born = 2000, 2000
		tracker.Update(list)
		require.Equal(t, map[string]bool{"i-1": true, "i-2": true}, picked(tracker))
	}
}

func TestRestGoesOnInASuspension(t *testing.T) {
	tracker, resting, _ := restingTracker(t, 3*time.Second)
	t.Cleanup(uptime.Pretend(4 * time.Second))
	require.True(t, resting.Admit())
	require.Zero(t, tracker.Resting())
}

// After its rest a target gets one request, and the others once that is not turned
// away.
func TestFirstRequestAfterARestGoesAlone(t *testing.T) {
	tracker, rested, _ := restingTracker(t, time.Second)
	t.Cleanup(uptime.Pretend(2 * time.Second))
	require.True(t, rested.Admit())
	require.False(t, rested.Admit(), "the first is on its way")
	require.Equal(t, map[string]bool{"i-2": true}, picked(tracker))
	rested.Answered()
	require.True(t, rested.Admit())
	require.True(t, rested.Admit())

	rested.AskedForRest(time.Second)
	t.Cleanup(uptime.Pretend(2 * time.Second))
	require.True(t, rested.Admit())
	rested.AskedForRest(time.Second)
	require.False(t, rested.Admit(), "it asked again")
	t.Cleanup(uptime.Pretend(2 * time.Second))
	require.True(t, rested.Admit())
	t.Cleanup(uptime.Pretend(2 * trialTime))
	require.True(t, rested.Admit(), "an answer that does not come keeps others away for a moment only")
}

func TestRestLeftIsOfTheFirstTargetThatTakesRequestsAgain(t *testing.T) {
	tracker, _, _ := restingTracker(t, time.Minute)
	require.Zero(t, tracker.RestLeft("s", nil), "one does not rest")
	require.Zero(t, tracker.RestLeft("unknown", nil))
	other := tracker.byID["i-2"]
	other.AskedForRest(30 * time.Second)
	require.InDelta(t, 30, tracker.RestLeft("s", nil).Seconds(), 1)
	require.InDelta(t, 60, tracker.RestLeft("s", func(t *Target) bool { return t == other }).Seconds(), 1)
	other.SaidLeaving()
	require.InDelta(t, 60, tracker.RestLeft("s", nil).Seconds(), 1, "one that leaves comes not back")
}
