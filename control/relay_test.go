package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/discovery"
)

// leaderPeers answers as a leader, without consensus.
type leaderPeers struct {
	leader *Server
	cut    bool
}

// Call implements Peers.
func (p *leaderPeers) Call(ctx context.Context, _ walnutramp.NodeName, _ string, args, reply any) error {
	if p.cut {
		return errors.New("partitioned")
	}
	request, response := args.(NewestArgs), reply.(*NewestReply)
	p.leader.registerRequester(request)
	p.leader.entryNodes.fillReply(request, response)
	p.leader.awaitChange(ctx, request)
	p.leader.fill(request, response)
	response.Roster = p.leader.targets.uncompressedReply(request.Roster)
	return nil
}

// newRelayPair returns a leader and a relay with its server.
func newRelayPair() (*leaderPeers, *Server, *Relay) {
	rule := WithRule(AcceptHighest)
	peers := &leaderPeers{leader: NewUnsignedServer(nil, NewState(rule), nil, NewTargetList())}
	for i := range relayThreshold + 1 {
		peers.leader.entryNodes.register(EntryNode{Address: fmt.Sprint("e", i)})
	}
	member := NewUnsignedServer(nil, NewState(rule), nil, NewTargetList())
	return peers, member, NewRelay(peers, "relay", "north", nil, member)
}

func askRelay(member *Server, args NewestArgs) (NewestReply, bool) {
	var reply NewestReply
	member.registerRequester(args)
	ok := member.relay.answer(context.Background(), member, args, &reply)
	return reply, ok
}

func TestRelayAnswersForLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers, member, relay := newRelayPair()
		list := numberedTargets(0, 30)
		peers.leader.targets.Set(list)
		accept(peers.leader.state, 4)
		accept(member.state, 4)
		_, ok := askRelay(member, NewestArgs{Entry: "e1"})
		require.False(t, ok, "no confirmation by the leader yet")

		require.True(t, relay.refresh(t.Context(), "leader"))
		reply, ok := askRelay(member, NewestArgs{Entry: "e1"})
		require.True(t, ok)
		require.Equal(t, uint64(4), reply.Version)
		require.Equal(t, walnutramp.NodeName("relay"), reply.Relay)
		require.NoError(t, reply.Roster.readFull(t.Context(), nil, "relay", ""))
		targets, err := reply.Roster.Targets(0, nil)
		require.NoError(t, err)
		require.ElementsMatch(t, list, targets)

		time.Sleep(time.Second)
		reply, ok = askRelay(member, NewestArgs{Entry: "e1", Have: 4, Roster: reply.Roster.Version})
		require.True(t, ok)
		require.GreaterOrEqual(t, reply.Age, time.Second, "the lease starts at the leader's confirmation")

		time.Sleep(relayMaxAge)
		_, ok = askRelay(member, NewestArgs{Entry: "e1", Have: 4})
		require.False(t, ok, "the confirmation is too old: ask the leader")
	})
}

// The list is empty while a site starts, and when all targets are gone.
func TestRelayAppliesAnEmptyTargetList(t *testing.T) {
	for name, before := range map[string][]discovery.Target{"from the start": nil, "targets are gone": numberedTargets(0, 30)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers, member, relay := newRelayPair()
				peers.leader.targets.Set(before)
				require.True(t, relay.refresh(t.Context(), "leader"))
				peers.leader.targets.Set(nil)
				accept(peers.leader.state, 4)
				accept(member.state, 4)
				require.True(t, relay.refresh(t.Context(), "leader"))
				reply, ok := askRelay(member, NewestArgs{Entry: "e1"})
				require.True(t, ok)
				require.Equal(t, uint64(4), reply.Version)
				require.NoError(t, reply.Roster.readFull(t.Context(), nil, "relay", ""))
				targets, err := reply.Roster.Targets(0, nil)
				require.NoError(t, err)
				require.Empty(t, targets)
			})
		})
	}
}

// On a small site the leader answers all entry nodes itself.
func TestSmallSiteNeedsNoRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers, member, relay := newRelayPair()
		peers.leader.entryNodes = entryRegistry{}
		peers.leader.targets.Set(numberedTargets(0, 3))
		require.True(t, relay.refresh(t.Context(), "leader"))
		_, ok := askRelay(member, NewestArgs{Entry: "e1"})
		require.False(t, ok)
		require.False(t, relay.enabled())
	})
}

// A relay must not answer with a version older than the one that the leader
// confirmed.
func TestLaggingRelayDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers, member, relay := newRelayPair()
		peers.leader.targets.Set(numberedTargets(0, 3))
		accept(peers.leader.state, 9)
		accept(member.state, 4)
		require.True(t, relay.refresh(t.Context(), "leader"))
		_, ok := askRelay(member, NewestArgs{Entry: "e1"})
		require.False(t, ok)

		require.True(t, relay.refresh(t.Context(), "leader"))
		go func() {
			time.Sleep(relayMaxLag / 2)
			accept(member.state, 9)
		}()
		reply := NewestReply{}
		require.False(t, relay.fresh())
		require.True(t, relay.awaitFresh())
		require.True(t, relay.answer(t.Context(), member, NewestArgs{Entry: "e1"}, &reply))
		require.Equal(t, uint64(9), reply.Version)
	})
}

// A former leader that read the target list itself must return to the current
// leader's list.
func TestFormerLeaderFollowsTargetList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers, member, relay := newRelayPair()
		peers.leader.targets.Set(numberedTargets(0, 20))
		require.True(t, relay.refresh(t.Context(), "leader"))
		member.targets.Set(numberedTargets(5, 30)) // read by the relay itself
		peers.leader.targets.Set(numberedTargets(1, 25))
		for range 3 {
			relay.refresh(t.Context(), "leader")
		}
		_, list := member.targets.current()
		require.ElementsMatch(t, numberedTargets(1, 25), list)
		_, ok := askRelay(member, NewestArgs{Entry: "e1"})
		require.True(t, ok)
	})
}

func TestRelaysAreChosenByDataHall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r relays
		require.Empty(t, r.choose("north", "e1"))
		r.register("north", "m1")
		r.register("north", "m2")
		r.register("south", "m3")
		r.register("west", "")
		count := map[walnutramp.NodeName]int{}
		for i := range 100 {
			count[r.choose("north", fmt.Sprint("e", i))]++
		}
		require.Len(t, count, 2)
		require.Greater(t, count["m1"], 25)
		require.Equal(t, walnutramp.NodeName("m3"), r.choose("south", "e1"))
		require.Empty(t, r.choose("west", "e1"))
		time.Sleep(relayTTL + time.Second)
		require.Empty(t, r.choose("south", "e1"), "the relay has expired")
	})
}

// The leader knows the entry nodes that ask relays only.
func TestLeaderKnowsRelayedEntryNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers, member, relay := newRelayPair()
		peers.leader.targets.Set([]discovery.Target{{ID: "i-1"}})
		peers.leader.entryNodes = entryRegistry{}
		for i := range relayThreshold + 1 {
			member.registerRequester(NewestArgs{Entry: fmt.Sprint("e", i)})
		}
		require.True(t, relay.refresh(t.Context(), "leader"))
		require.Equal(t, relayThreshold+1, peers.leader.entryNodes.count())
		require.True(t, relay.enabled())
		peers.leader.entryNodes.register(EntryNode{Address: "elsewhere"})
		require.True(t, relay.refresh(t.Context(), "leader"))
		reply, ok := askRelay(member, NewestArgs{Entry: "e1"})
		require.True(t, ok)
		require.Contains(t, reply.Entries, "elsewhere")
		reply, ok = askRelay(member, NewestArgs{Entry: "e1", DataHall: "north", Directory: true})
		require.True(t, ok)
		require.Contains(t, reply.Directory.joinedNodes(), EntryNode{Address: "elsewhere"})
		peers.cut = true
		require.False(t, relay.refresh(t.Context(), "leader"))
	})
}
