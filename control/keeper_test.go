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

// followers returns the leader's view of the other voters; the leader is the first.
func followers(g consensus.Group, unresponsive map[string]time.Duration) []consensus.FollowerStatus {
	var all []consensus.FollowerStatus
	for _, v := range g.Voters[1:] {
		all = append(all, consensus.FollowerStatus{Voter: v, Unresponsive: unresponsive[string(v.Node)]})
	}
	return all
}

// runSteps applies steps until none is left. It returns the final group and the
// lowest number of counted voters on the way.
func runSteps(t *testing.T, k *MembershipManager, g consensus.Group, unresponsive map[string]time.Duration) (consensus.Group, int) {
	t.Helper()
	minCounted := g.Counted()
	for range 20 {
		next, reason := k.step(g, followers(g, unresponsive))
		if reason == "" {
			return g, minCounted
		}
		t.Log(reason, next.Nodes())
		g = next
		minCounted = min(minCounted, g.Counted())
	}
	t.Fatal("the steps do not end")
	return g, 0
}

func TestMembershipManagerSteps(t *testing.T) {
	const failed, newDisk = time.Minute, "disk of gone"
	for _, c := range []struct {
		name         string
		before       consensus.Group
		unresponsive map[string]time.Duration
		joining      string
		identity     consensus.Identity
		after        []walnutramp.NodeName
		minCounted   int
	}{
		{"nothing to do", group("a", "b", "c"), nil, "", "", []walnutramp.NodeName{"a", "b", "c"}, 3},
		{"one of three failed, no replacement: kept, as two voters tolerate no failure", group("a", "b", "c"),
			map[string]time.Duration{"c": failed}, "", "", []walnutramp.NodeName{"a", "b", "c"}, 3},
		{"one of three failed, one replacement", group("a", "b", "c"),
			map[string]time.Duration{"c": failed}, "d", "", []walnutramp.NodeName{"a", "b", "d"}, 2},
		{"one of four failed, no replacement: removed, as three voters tolerate a failure", group("a", "b", "c", "d"),
			map[string]time.Duration{"d": failed}, "", "", []walnutramp.NodeName{"a", "b", "c"}, 3},
		{"one of four failed, one replacement", group("a", "b", "c", "d"),
			map[string]time.Duration{"d": failed}, "e", "", []walnutramp.NodeName{"a", "b", "c", "e"}, 3},
		{"several failed: all are removed", group("a", "b", "c", "d", "e", "f"),
			map[string]time.Duration{"b": failed, "c": failed}, "", "", []walnutramp.NodeName{"a", "d", "e", "f"}, 4},
		{"no failure: a node joins", group("a", "b", "c"), nil, "d", "", []walnutramp.NodeName{"a", "b", "c", "d"}, 3},
		{"disk lost", group("a", "b", "c"), nil, "c", newDisk, []walnutramp.NodeName{"a", "b", "c"}, 2},
		{"silent for a short time: not removed", group("a", "b", "c", "d"),
			map[string]time.Duration{"d": 500 * time.Millisecond}, "", "", []walnutramp.NodeName{"a", "b", "c", "d"}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := NewMembershipManager("a", nil)
			if c.joining != "" {
				id := c.identity
				if id == "" {
					id = voter(c.joining).Identity
				}
				k.requestJoin(JoinArgs{Node: walnutramp.NodeName(c.joining), Identity: id})
			}
			after, minCounted := runSteps(t, k, c.before, c.unresponsive)
			require.ElementsMatch(t, c.after, after.Nodes())
			require.Equal(t, after.Counted(), len(after.Voters), "no learner is left")
			require.Equal(t, c.minCounted, minCounted)
		})
	}
}

// Guards against a group that grows by failed members: a learner must not become a
// voter while another voter may have failed.
func TestLearnerWaitsWhileVoterMayHaveFailed(t *testing.T) {
	k := NewMembershipManager("a", nil)
	g := group("a", "b", "c", "d")
	learner := voter("e")
	learner.Learner = true
	g.Voters = append(g.Voters, learner)
	next, reason := k.step(g, followers(g, map[string]time.Duration{"d": replaceAfter - 100*time.Millisecond}))
	require.Empty(t, reason, "d may have failed: %v", next.Nodes())
	next, reason = k.step(g, followers(g, map[string]time.Duration{"d": replaceAfter + time.Millisecond}))
	require.NotEmpty(t, reason)
	_, kept := next.Find("d")
	require.False(t, kept)
}
