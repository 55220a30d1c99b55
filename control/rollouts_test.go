package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/rollout"
)

// applyAll applies commands as the log hands them over, one a second.
func applyAll(s *State, first uint64, commands ...Command) Result {
	var last Result
	for i, c := range commands {
		c.Now = time.Now().UnixMilli()
		text, err := msgpack.Marshal(c)
		if err != nil {
			panic(err)
		}
		if err := msgpack.Unmarshal(s.Apply(first+uint64(i), text), &last); err != nil {
			panic(err)
		}
		time.Sleep(time.Second)
	}
	return last
}

func known(versions ...string) Command {
	return Command{Known: &KnownVersions{Service: "s", Versions: versions}}
}

func order(version string) Command {
	return Command{Rollout: &RolloutOrder{Service: "s", Version: version, Duration: 10 * time.Second, Listed: []string{"v1", "v2"}}}
}

func step(number uint64, state rollout.State, stage rollout.Stage) Command {
	return Command{Step: &RolloutStep{Service: "s", Number: number, State: state, Stage: stage, Elapsed: 4 * time.Second, Reason: "why"}}
}

func TestEndOfARolloutIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewState()
		require.Equal(t, walnutramp.CodeOK, applyAll(s, 1, known("v1"), known("v9"), order("v2")).Code)
		require.Equal(t, walnutramp.CodeRolloutUnderWay, applyAll(s, 4, order("v3")).Code)
		applyAll(s, 5, step(3, rollout.Running, rollout.StageShift), step(3, rollout.Completed, rollout.StageShift), step(3, rollout.RolledBack, rollout.StageShift))
		view := s.versions()
		rec, _ := view.Of("s")
		require.Equal(t, rollout.Completed, rec.State)
		require.Equal(t, []string{"v2"}, rec.InForce)
		require.Equal(t, walnutramp.CodeRolloutInForce, applyAll(s, 8, order("v2")).Code)
		require.Equal(t, walnutramp.CodeOK, applyAll(s, 9, order("v1")).Code, "the way back is a roll-out, too")
		applyAll(s, 10, step(3, rollout.RolledBack, rollout.StageCanary))
		view = s.versions()
		rec, _ = view.Of("s")
		require.Equal(t, rollout.Running, rec.State, "a step of an older one changes nothing")
		require.EqualValues(t, 9, rec.Number)
	})
}

// The first reading of the list may hold the new version's targets already.
func TestOrderOfAVersionThatWasThereFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, before := range [][]Command{nil, {known("v1", "v2")}} {
			s := NewState()
			applyAll(s, 1, before...)
			r := applyAll(s, 5, order("v2"))
			require.Equal(t, walnutramp.CodeOK, r.Code)
			require.Equal(t, []string{"v1"}, r.Rollout.InForce)
		}
		s := NewState()
		r := applyAll(s, 1, Command{Rollout: &RolloutOrder{Service: "s", Version: "v1", Duration: time.Second, Listed: []string{"v1"}}})
		require.Equal(t, walnutramp.CodeRolloutInForce, r.Code)
	})
}

// A member that starts from a snapshot counts on from the time that it tells.
func TestRolloutsOutliveASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewState()
		applyAll(s, 1, known("v1"), order("v2"))
		time.Sleep(2 * time.Second)
		restored := NewState()
		require.NoError(t, restored.Restore(s.Snapshot()))
		view := restored.versions()
		rec, ok := view.Of("s")
		require.True(t, ok)
		require.Equal(t, rollout.Running, rec.State)
		require.InDelta(t, 3, restored.rolloutElapsed(rec).Seconds(), 0.1)
		time.Sleep(time.Second)
		require.InDelta(t, 4, restored.rolloutElapsed(rec).Seconds(), 0.1)
		require.EqualValues(t, 2, view.Revision)

		before, err := msgpack.Marshal(struct{ Doc []byte }{[]byte("{}")})
		require.NoError(t, err)
		require.NoError(t, restored.Restore(before), "a snapshot of before there were roll-outs")
		view = restored.versions()
		require.Empty(t, view.Records)
	})
}

// A command that is applied long after it was given, as after a start of all
// members, or by a clock that was set: no more than a little is believed.
func TestTimeOfARolloutBelievesNoClockMuch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for given, elapsed := range map[time.Duration]time.Duration{
			0: 0, -time.Second: time.Second, -time.Hour: longestOutage, time.Hour: 0,
		} {
			s := NewState()
			c := order("v2")
			c.Now = time.Now().Add(given).UnixMilli()
			text, err := msgpack.Marshal(c)
			require.NoError(t, err)
			s.Apply(1, text)
			view := s.versions()
			rec, _ := view.Of("s")
			require.InDelta(t, elapsed.Seconds(), s.rolloutElapsed(rec).Seconds(), 0.01, given)
		}
	})
}
