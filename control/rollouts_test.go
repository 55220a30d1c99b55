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

// applyAll applies encoded commands with consecutive indexes, one per second.
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

func knownCommand(versions ...string) Command {
	return Command{Known: &KnownVersions{Service: "s", Versions: versions}}
}

func orderCommand(version string) Command {
	return Command{Rollout: &RolloutOrder{Service: "s", Version: version, Duration: 10 * time.Second, Listed: []string{"v1", "v2"}}}
}

func stepCommand(number uint64, state rollout.State, stage rollout.Stage) Command {
	return Command{Step: &RolloutStep{Service: "s", Number: number, State: state, Stage: stage, Elapsed: 4 * time.Second, Reason: "why"}}
}

func TestEndedRolloutIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewState()
		require.Equal(t, walnutramp.CodeOK, applyAll(s, 1, knownCommand("v1"), knownCommand("v9"), orderCommand("v2")).Code)
		require.Equal(t, walnutramp.CodeRolloutUnderWay, applyAll(s, 4, orderCommand("v3")).Code)
		applyAll(s, 5, stepCommand(3, rollout.Running, rollout.StageShift), stepCommand(3, rollout.Completed, rollout.StageShift), stepCommand(3, rollout.RolledBack, rollout.StageShift))
		view := s.versions()
		rec, _ := view.Of("s")
		require.Equal(t, rollout.Completed, rec.State)
		require.Equal(t, []string{"v2"}, rec.InForce)
		require.Equal(t, walnutramp.CodeRolloutInForce, applyAll(s, 8, orderCommand("v2")).Code)
		require.Equal(t, walnutramp.CodeOK, applyAll(s, 9, orderCommand("v1")).Code, "going back is a roll-out, too")
		applyAll(s, 10, stepCommand(3, rollout.RolledBack, rollout.StageCanary))
		view = s.versions()
		rec, _ = view.Of("s")
		require.Equal(t, rollout.Running, rec.State, "a step of an earlier roll-out changes nothing")
		require.EqualValues(t, 9, rec.Number)
	})
}

// The first target list may already include targets of the new version.
func TestRolloutToVersionAlreadyListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, before := range [][]Command{nil, {knownCommand("v1", "v2")}} {
			s := NewState()
			applyAll(s, 1, before...)
			r := applyAll(s, 5, orderCommand("v2"))
			require.Equal(t, walnutramp.CodeOK, r.Code)
			require.Equal(t, []string{"v1"}, r.Rollout.InForce)
		}
		s := NewState()
		r := applyAll(s, 1, Command{Rollout: &RolloutOrder{Service: "s", Version: "v1", Duration: time.Second, Listed: []string{"v1"}}})
		require.Equal(t, walnutramp.CodeRolloutInForce, r.Code)
	})
}

// A member restored from a snapshot goes on counting from its elapsed time.
func TestRolloutsSurviveSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewState()
		applyAll(s, 1, knownCommand("v1"), orderCommand("v2"))
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
		require.NoError(t, restored.Restore(before), "a snapshot without roll-outs")
		view = restored.versions()
		require.Empty(t, view.Records)
	})
}

// The delay between the proposal of a command and its application, by wall clocks,
// counts only up to maxDowntimeCredit.
func TestRolloutElapsedLimitsClockJumps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for given, elapsed := range map[time.Duration]time.Duration{
			0: 0, -time.Second: time.Second, -time.Hour: maxDowntimeCredit, time.Hour: 0,
		} {
			s := NewState()
			c := orderCommand("v2")
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
