package control_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/control"
)

// document returns a small valid bundle that is unique to its author.
func document(version uint64, author string) []byte {
	return []byte(fmt.Sprintf("version: %d\nsite: %s\n", version, author))
}

// submit submits a bundle to a member once.
func (g *group) submit(to walnutramp.NodeName, doc []byte) control.DoReply {
	sig, err := bundle.Sign(doc, "harbour", g.private)
	require.NoError(g.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	var reply control.DoReply
	if (peers{g, "client"}).Call(ctx, to, control.Service+".Submit", control.SubmitArgs{Doc: doc, Signature: sig}, &reply) != nil {
		return control.DoReply{Code: walnutramp.CodeOutcomeUnknown}
	}
	return reply
}

func (g *group) newest(to walnutramp.NodeName) (control.NewestReply, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var reply control.NewestReply
	err := (peers{g, "client"}).Call(ctx, to, control.Service+".Newest", control.NewestArgs{}, &reply)
	return reply, err == nil && reply.Code == walnutramp.CodeOK
}

type bundleInput struct {
	read    bool
	version uint64
	digest  string
}

type bundleOutput struct {
	unknown  bool
	conflict bool
	version  uint64
	digest   string
}

// bundleModel is the linearizability model. Its state is the digests of the accepted
// versions, 64 hexadecimal digits each, concatenated in order.
var bundleModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		digests := state.(string)
		in, out := input.(bundleInput), output.(bundleOutput)
		n := uint64(len(digests) / 64)
		at := func(v uint64) string { return digests[(v-1)*64 : v*64] }
		if in.read {
			return out.version == n && (n == 0 || out.digest == at(n)), state
		}
		if in.version == n+1 {
			return out.unknown || !out.conflict && out.digest == in.digest, digests + in.digest
		}
		if out.unknown {
			return true, state
		}
		if in.version <= n {
			same := at(in.version) == in.digest
			return out.conflict == !same && out.digest == at(in.version), state
		}
		return out.conflict && out.version == n, state
	},
	Equal: func(a, b any) bool { return a == b },
}

const (
	historySeeds = 200
	historyOps   = 10
	neverReturns = int64(1) << 60
)

// runHistory runs clients that read and submit during faults and returns their
// operations.
func runHistory(t *testing.T, seed uint64, fault func(g *group, n int)) []porcupine.Operation {
	g := newGroup(t, 3+2*int(seed%2), seed)
	defer g.close()
	g.mu.Lock()
	g.loss = 0.02
	g.mu.Unlock()
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var ops []porcupine.Operation
	var clients sync.WaitGroup
	for id := range 3 {
		clients.Go(func() {
			for i := range historyOps {
				op, ok := g.randomOperation(id, i)
				if ok {
					mu.Lock()
					ops = append(ops, op)
					mu.Unlock()
				}
			}
		})
	}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-time.After(time.Duration(100+g.random(900)) * time.Millisecond):
				fault(g, n)
			case <-stop:
				return
			}
		}
	})
	clients.Wait()
	close(stop)
	faults.Wait()
	return ops
}

// pickMember returns a random member, most often one that considers itself the
// leader.
func (g *group) pickMember() walnutramp.NodeName {
	var leaders []walnutramp.NodeName
	for _, n := range g.names {
		g.mu.Lock()
		m := g.members[n]
		up, raft := m.up, m.raft
		g.mu.Unlock()
		if up && raft.Leads() {
			leaders = append(leaders, n)
		}
	}
	if len(leaders) == 0 || g.random(10) == 0 {
		return g.names[g.random(len(g.names))]
	}
	return leaders[g.random(len(leaders))]
}

// randomOperation makes one random call: a read, or a submission of the next version or,
// one time in three, of the newest again. After a failed read it submits version 1.
func (g *group) randomOperation(id, i int) (porcupine.Operation, bool) {
	time.Sleep(time.Duration(g.random(400)) * time.Millisecond)
	to := g.pickMember()
	call := time.Now().UnixNano()
	r, ok := g.newest(to)
	if g.random(3) == 0 {
		return porcupine.Operation{
			ClientId: id, Input: bundleInput{read: true}, Call: call,
			Output: bundleOutput{version: r.Version, digest: r.Digest}, Return: time.Now().UnixNano(),
		}, ok
	}
	version := r.Version + 1 - min(g.random(3)/2, r.Version)
	doc := document(version, fmt.Sprintf("author-%d-%d", id, i))
	in := bundleInput{version: version, digest: bundle.Digest(doc)}
	call = time.Now().UnixNano()
	reply := g.submit(to, doc)
	op := porcupine.Operation{ClientId: id, Input: in, Call: call, Return: time.Now().UnixNano()}
	switch {
	case reply.Code == walnutramp.CodeNoLeader:
		return op, false
	case reply.Code != walnutramp.CodeOK:
		op.Output = bundleOutput{unknown: true}
		op.Return = neverReturns
		op.ClientId = 100 + 10*id + i // an ID of its own, as the client continues meanwhile
	default:
		res := reply.Result
		op.Output = bundleOutput{conflict: res.Code == walnutramp.CodeBundleConflict, version: res.Version, digest: res.Digest}
	}
	return op, true
}

// randomFault crashes and restarts members, cuts links in one or both directions,
// and heals them.
func randomFault(g *group, _ int) {
	a, b := g.names[g.random(len(g.names))], g.names[g.random(len(g.names))]
	switch g.random(6) {
	case 0, 1:
		g.crash(a)
		time.Sleep(time.Duration(g.random(1500)) * time.Millisecond)
		require.NoError(g.t, g.start(a))
	case 2:
		g.setCut(a, b, true)
	case 3:
		g.setCut(a, b, true)
		g.setCut(b, a, true)
	default:
		g.mu.Lock()
		clear(g.cut)
		g.mu.Unlock()
	}
}

// checkSeed reports whether the history of a seed is linearizable, and returns its number
// of operations.
func checkSeed(t *testing.T, seed uint64, fault func(*group, int)) (bool, int) {
	var ops []porcupine.Operation
	synctest.Test(t, func(t *testing.T) { ops = runHistory(t, seed, fault) })
	return porcupine.CheckOperations(bundleModel, ops), len(ops)
}

// TestBundlesAreLinearizable checks over seeded schedules of crashes, partitions
// and losses that bundles are accepted in order, that each version has one winner,
// and that reads never go back.
func TestBundlesAreLinearizable(t *testing.T) {
	var total atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(historySeeds) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				ok, ops := checkSeed(t, seed, randomFault)
				require.True(t, ok, "seed %d: %d operations", seed, ops)
				total.Add(int64(ops))
			})
		}
	})
	t.Logf("%d operations in %d histories", total.Load(), historySeeds)
	require.Greater(t, total.Load(), int64(historySeeds*historyOps), "too few operations for a meaningful check")
}

// TestCheckerDetectsVotesWithEmptiedDisks checks that the linearizability check
// detects members that vote with an emptied disk.
func TestCheckerDetectsVotesWithEmptiedDisks(t *testing.T) {
	wipeAndRejoin := func(g *group, n int) {
		a := g.names[g.random(len(g.names))]
		g.crash(a)
		g.members[a].disk.Wipe()
		// With a founder's identity it votes as before, without its log.
		require.NoError(g.t, control.WriteFounderIdentity(g.members[a].disk))
		require.NoError(g.t, g.start(a))
	}
	detected := 0
	for seed := range uint64(20) {
		if ok, _ := checkSeed(t, seed, wipeAndRejoin); !ok {
			detected++
		}
	}
	require.NotZero(t, detected)
	t.Logf("detected in %d of 20 histories", detected)
}

// TestEmptiedDiskNeverVotes checks that a member with an emptied disk does not
// count towards a majority.
func TestEmptiedDiskNeverVotes(t *testing.T) {
	inGroup(t, 3, 1, func(t *testing.T, g *group) {
		require.Equal(t, walnutramp.CodeOK, g.submitAnywhere(document(1, "a")).Code)
		g.crash("c1")
		g.members["c1"].disk.Wipe()
		require.NoError(t, g.start("c1"))
		g.crash("c2")
		time.Sleep(10 * time.Second)
		require.NotEqual(t, walnutramp.CodeOK, g.submitAnywhere(document(2, "a")).Code)
		require.NoError(t, g.start("c2"))
		time.Sleep(3 * time.Second)
		require.Equal(t, walnutramp.CodeOK, g.submitAnywhere(document(2, "a")).Code)
	})
}

func (g *group) submitAnywhere(doc []byte) control.DoReply {
	var r control.DoReply
	for range 8 {
		for _, n := range g.names {
			if r = g.submit(n, doc); r.Code == walnutramp.CodeOK {
				return r
			}
		}
		time.Sleep(300 * time.Millisecond) // an election may be in progress
	}
	return r
}

// TestRestartAfterThousandChanges restarts all members from snapshots and compacted
// logs.
func TestRestartAfterThousandChanges(t *testing.T) {
	inGroup(t, 3, 2, func(t *testing.T, g *group) {
		for v := uint64(1); v <= 1000; v++ {
			require.Equal(t, walnutramp.CodeOK, g.submitAnywhere(document(v, "a")).Code, "version %d", v)
		}
		for _, n := range g.names {
			g.crash(n)
		}
		for _, n := range g.names {
			require.NoError(t, g.start(n))
		}
		time.Sleep(3 * time.Second)
		for _, n := range g.names {
			if r, ok := g.newest(n); ok {
				require.EqualValues(t, 1000, r.Version)
			}
		}
		// Resubmitting an older version returns its original result.
		r := g.submitAnywhere(document(900, "a"))
		require.Equal(t, walnutramp.CodeOK, r.Result.Code)
		require.EqualValues(t, 900, r.Result.Version)
		r = g.submitAnywhere(document(900, "b"))
		require.Equal(t, walnutramp.CodeBundleConflict, r.Result.Code)
		require.Equal(t, "harbour", r.Result.Winner)
		require.Equal(t, walnutramp.CodeOK, g.submitAnywhere(document(1001, "a")).Code)
	})
}

// TestPartitionedLeaderConfirmsNothing checks that a partitioned leader does not confirm
// its bundle and catches up when it returns.
func TestPartitionedLeaderConfirmsNothing(t *testing.T) {
	inGroup(t, 3, 3, func(t *testing.T, g *group) {
		require.Equal(t, walnutramp.CodeOK, g.submitAnywhere(document(1, "a")).Code)
		var oldLeader walnutramp.NodeName
		for _, n := range g.names {
			if g.members[n].raft.Leads() {
				oldLeader = n
			}
		}
		for _, n := range g.names {
			g.setCut(oldLeader, n, true)
			g.setCut(n, oldLeader, true)
		}
		_, ok := g.newest(oldLeader)
		require.False(t, ok, "a partitioned leader confirmed its bundle")
		time.Sleep(3 * time.Hour)
		require.False(t, g.members[oldLeader].raft.Leads())
		require.Equal(t, walnutramp.CodeOK, g.submitAnywhere(document(2, "b")).Code)
		g.mu.Lock()
		clear(g.cut)
		g.mu.Unlock()
		time.Sleep(3 * time.Second)
		require.Equal(t, uint64(2), g.members[oldLeader].state.History()[2].Version)
	})
}

// TestInvalidSignatureIsRejected checks missing and invalid signatures.
func TestInvalidSignatureIsRejected(t *testing.T) {
	inGroup(t, 3, 4, func(t *testing.T, g *group) {
		doc := document(1, "a")
		sig, err := bundle.Sign(doc, "harbour", g.private)
		require.NoError(t, err)
		for _, s := range []bundle.Signature{{}, {Operator: "harbour"}, {Operator: "nobody", Bytes: sig.Bytes}} {
			var reply control.DoReply
			require.NoError(t, g.members["c1"].server.Submit(control.SubmitArgs{Doc: doc, Signature: s}, &reply))
			require.Equal(t, walnutramp.CodeBundleSignature, reply.Code)
		}
		var reply control.DoReply
		altered := document(1, "b")
		require.NoError(t, g.members["c1"].server.Submit(control.SubmitArgs{Doc: altered, Signature: sig}, &reply))
		require.Equal(t, walnutramp.CodeBundleSignature, reply.Code)
		unsigned := control.Command{Submit: &control.Submit{Version: 1, Digest: bundle.Digest(doc), Doc: doc}}
		require.NoError(t, g.members["c1"].server.Do(control.DoArgs{Command: unsigned}, &reply))
		require.Equal(t, walnutramp.CodeBundleSignature, reply.Code)
	})
}

// leader returns the confirmed leader, waiting for one.
func (g *group) leader() walnutramp.NodeName {
	for {
		for _, n := range g.names {
			m := g.members[n]
			if m.up && m.raft.Leads() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				ok := m.raft.Confirm(ctx)
				cancel()
				if ok {
					return n
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// change proposes a membership change to the leader until it is accepted.
func (g *group) change(edit func([]consensus.Voter) []consensus.Voter) {
	for range 20 {
		raft := g.members[g.leader()].raft
		voters := append([]consensus.Voter(nil), raft.Status().Group.Voters...)
		reply := raft.Change(context.Background(), consensus.Group{Voters: edit(voters)})
		if reply.Code == walnutramp.CodeOK {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	g.t.Fatal("the change was never accepted")
}

// TestMemberFailureAfterReplacement replaces a member that lost its disk, then stops
// another one. Accepted bundles must survive and the group must stay available.
func TestMemberFailureAfterReplacement(t *testing.T) {
	inGroup(t, 3, 5, func(t *testing.T, g *group) {
		for v := uint64(1); v <= 50; v++ {
			require.Equal(t, walnutramp.CodeOK, g.submitAnywhere(document(v, "a")).Code)
		}
		g.crash("c1")
		g.members["c1"].disk.Wipe()
		require.NoError(t, g.start("c1"))
		identity, err := control.LoadOrCreateIdentity(g.members["c1"].disk)
		require.NoError(t, err)
		learner := consensus.Voter{Node: "c1", Identity: identity, Learner: true}
		g.change(func(vs []consensus.Voter) []consensus.Voter {
			return slices.DeleteFunc(vs, func(v consensus.Voter) bool { return v.Node == "c1" })
		})
		g.change(func(vs []consensus.Voter) []consensus.Voter { return append(vs, learner) })
		for g.members["c1"].raft.Status().Applied < g.members[g.leader()].raft.Status().Commit {
			time.Sleep(100 * time.Millisecond)
		}
		g.change(func(vs []consensus.Voter) []consensus.Voter {
			for i := range vs {
				vs[i].Learner = false
			}
			return vs
		})
		g.crash("c2")
		time.Sleep(3 * time.Second)
		require.Equal(t, walnutramp.CodeOK, g.submitAnywhere(document(51, "a")).Code)
		r, ok := g.newest(g.leader())
		require.True(t, ok)
		require.EqualValues(t, 51, r.Version)
	})
}

// Guards against commits that depend on a learner.
func TestLearnerDoesNotCountTowardsMajority(t *testing.T) {
	inGroup(t, 4, 6, func(t *testing.T, g *group) {
		g.change(func(vs []consensus.Voter) []consensus.Voter {
			for i := range vs {
				vs[i].Learner = vs[i].Node == "c4"
			}
			return vs
		})
		require.Equal(t, walnutramp.CodeOK, g.submitAnywhere(document(1, "a")).Code)
		g.crash("c1")
		g.crash("c2")
		time.Sleep(5 * time.Second)
		require.NotEqual(t, walnutramp.CodeOK, g.submitAnywhere(document(2, "a")).Code)
	})
}

// TestMemberStopsOnFullDisk checks that a member with a full disk stops, that the
// group stays available, and that the member recovers.
func TestMemberStopsOnFullDisk(t *testing.T) {
	inGroup(t, 3, 7, func(t *testing.T, g *group) {
		oldLeader := g.leader()
		g.members[oldLeader].disk.FailAfter(0)
		require.Equal(t, walnutramp.CodeOK, g.submitAnywhere(document(1, "a")).Code)
		require.False(t, g.members[oldLeader].raft.Leads())
		g.crash(oldLeader)
		require.NoError(t, g.start(oldLeader))
		time.Sleep(3 * time.Second)
		require.EqualValues(t, 1, g.members[oldLeader].state.History()[1].Version)
	})
}
