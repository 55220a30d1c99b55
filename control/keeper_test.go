package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/consensus"
)

func voter(node string) consensus.Voter {
	return consensus.Voter{Node: walnutramp.NodeName(node), Identity: consensus.Identity("disk of " + node)}
}

func group(nodes ...string) consensus.Group {
	var g consensus.Group
	for _, n := range nodes {
		g.Voters = append(g.Voters, voter(n))
	}
	return g
}

// followers are what the leader, the group's first, knows of the others.
func followers(g consensus.Group, silent map[string]time.Duration) []consensus.FollowerStatus {
	var all []consensus.FollowerStatus
	for _, v := range g.Voters[1:] {
		all = append(all, consensus.FollowerStatus{Voter: v, Silent: silent[string(v.Node)]})
	}
	return all
}

// settle takes steps until none is left, and returns how many voters count
// and how few ever did.
func settle(t *testing.T, k *Keeper, g consensus.Group, silent map[string]time.Duration) (consensus.Group, int) {
	t.Helper()
	fewest := g.Counted()
	for range 20 {
		next, why := k.step(g, followers(g, silent))
		if why == "" {
			return g, fewest
		}
		t.Log(why, next.Nodes())
		g = next
		fewest = min(fewest, g.Counted())
	}
	t.Fatal("the steps do not end")
	return g, 0
}

func TestKeeperSteps(t *testing.T) {
	const dead, gone = time.Minute, "disk of gone"
	for _, c := range []struct {
		name     string
		before   consensus.Group
		silent   map[string]time.Duration
		newcomer string
		identity consensus.Identity
		after    []walnutramp.NodeName
		fewest   int
	}{
		{"nothing to do", group("a", "b", "c"), nil, "", "", []walnutramp.NodeName{"a", "b", "c"}, 3},
		{"one of three dead, nobody new: kept, since two need both anyway", group("a", "b", "c"),
			map[string]time.Duration{"c": dead}, "", "", []walnutramp.NodeName{"a", "b", "c"}, 3},
		{"one of three dead, one new", group("a", "b", "c"),
			map[string]time.Duration{"c": dead}, "d", "", []walnutramp.NodeName{"a", "b", "d"}, 2},
		{"one of four dead, nobody new: three bear the next loss", group("a", "b", "c", "d"),
			map[string]time.Duration{"d": dead}, "", "", []walnutramp.NodeName{"a", "b", "c"}, 3},
		{"one of four dead, one new", group("a", "b", "c", "d"),
			map[string]time.Duration{"d": dead}, "e", "", []walnutramp.NodeName{"a", "b", "c", "e"}, 3},
		{"grown by dead members: all of them go", group("a", "b", "c", "d", "e", "f"),
			map[string]time.Duration{"b": dead, "c": dead}, "", "", []walnutramp.NodeName{"a", "d", "e", "f"}, 4},
		{"planned: the new one before the old one leaves", group("a", "b", "c"), nil, "d", "", []walnutramp.NodeName{"a", "b", "c", "d"}, 3},
		{"a disk was lost", group("a", "b", "c"), nil, "c", gone, []walnutramp.NodeName{"a", "b", "c"}, 2},
		{"silent for a moment only: nobody is removed", group("a", "b", "c", "d"),
			map[string]time.Duration{"d": 500 * time.Millisecond}, "", "", []walnutramp.NodeName{"a", "b", "c", "d"}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := NewKeeper("a", nil)
			if c.newcomer != "" {
				id := c.identity
				if id == "" {
					id = voter(c.newcomer).Identity
				}
				k.asked(JoinArgs{Node: walnutramp.NodeName(c.newcomer), Identity: id})
			}
			after, fewest := settle(t, k, c.before, c.silent)
			require.ElementsMatch(t, c.after, after.Nodes())
			require.Equal(t, after.Counted(), len(after.Voters), "all count in the end")
			require.Equal(t, c.fewest, fewest)
		})
	}
}

// A newcomer that is ready while a voter has just fallen silent must not make
// the group grow by a member that is dead, as a day with four replacements did.
func TestNewcomerWaitsForDoubt(t *testing.T) {
	k := NewKeeper("a", nil)
	g := group("a", "b", "c", "d")
	learner := voter("e")
	learner.Learner = true
	g.Voters = append(g.Voters, learner)
	next, why := k.step(g, followers(g, map[string]time.Duration{"d": silentLimit - 100*time.Millisecond}))
	require.Empty(t, why, "d may be lost: %v", next.Nodes())
	next, why = k.step(g, followers(g, map[string]time.Duration{"d": silentLimit + time.Millisecond}))
	require.NotEmpty(t, why)
	_, kept := next.Find("d")
	require.False(t, kept)
}
