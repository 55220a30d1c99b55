package control

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/consensus"
)

// The model check runs the real members, membership manager, joiner and clients of a
// control group in virtual time under a seeded schedule of crashes, disk losses,
// partitions and replacements. It checks the history of submitted documents and
// confirmed reads for linearizability. A defect is a bug that is injected to test the
// check.

type defect int

const (
	noDefect           defect = iota
	keepsIdentity             // a node keeps its identity after a disk loss
	acksBeforeSync            // Sync does nothing
	unconfirmedReads          // reads are not confirmed by a majority
	twoMemberChanges          // one change removes a voter and adds another
	ignoresIdentity           // a node accepts messages for the node it replaced
	transfersToLagging        // leadership is transferred to a member without all committed entries
)

// On every third seed the size of calls between members is limited, so that snapshots
// and long documents are sent in chunks. The limit is higher for nodes in several regions,
// where calls take longer.
const (
	modelCallBytes         = 512
	crossRegionCallBytes   = 4 * modelCallBytes
	modelLongDocumentBytes = 1500 // size of one document in eight
)

// On every fifth seed the nodes are in three regions.
const (
	modelRegions = 3
	regionDelay  = 12 * time.Millisecond // one way, between regions
)

// episode injects one random fault, ends it, and leaves time to recover.
func (m *model) episode() {
	victim := m.randomNode()
	switch m.intn(13) {
	case 0:
		m.kill(victim, true)
		time.Sleep(m.between(300*time.Millisecond, 2*time.Second))
		m.start(victim, false)
	case 1:
		m.kill(victim, true)
		m.wipe(victim)
		time.Sleep(m.between(300*time.Millisecond, 2*time.Second))
		m.start(victim, false)
	case 2:
		m.removeNode(victim)
		time.Sleep(m.between(500*time.Millisecond, 3*time.Second))
		m.addNode()
	case 3:
		m.addNode()
		time.Sleep(m.between(time.Second, 3*time.Second))
		m.removeNode(victim)
	case 4, 5:
		m.partition([]walnutramp.NodeName{victim}, true, m.intn(3) == 0)
		time.Sleep(m.between(500*time.Millisecond, 5*time.Second))
		if m.intn(3) == 0 {
			m.addNode() // during the partition
			time.Sleep(m.between(500*time.Millisecond, 3*time.Second))
		}
		m.heal()
	case 6:
		live := m.running()
		m.partition(live[:len(live)/2], true, false)
		time.Sleep(m.between(500*time.Millisecond, 4*time.Second))
		m.heal()
	case 7, 8:
		all := m.running()
		for _, name := range all {
			m.kill(name, true)
		}
		time.Sleep(m.between(300*time.Millisecond, time.Second))
		for _, name := range all {
			m.start(name, false)
		}
	case 9, 10:
		m.wipeWhileLagging(victim)
	case 11, 12:
		m.repeatTransfers(victim)
	}
	time.Sleep(6 * time.Second)
}

// wipeWhileLagging partitions a node so that it falls behind, wipes the disk of another,
// and lets only these two run for a while.
func (m *model) wipeWhileLagging(victim walnutramp.NodeName) {
	others := slices.DeleteFunc(m.running(), func(n walnutramp.NodeName) bool { return n == victim })
	m.partition([]walnutramp.NodeName{victim}, true, false)
	time.Sleep(m.between(500*time.Millisecond, 2*time.Second))
	for _, name := range others {
		m.kill(name, true)
	}
	m.wipe(others[0])
	m.heal()
	m.start(others[0], false)
	time.Sleep(m.between(time.Second, 3*time.Second))
	for _, name := range others[1:] {
		m.start(name, false)
	}
}

// repeatTransfers transfers leadership repeatedly while a member that has fallen behind
// rejoins.
func (m *model) repeatTransfers(victim walnutramp.NodeName) {
	m.partition([]walnutramp.NodeName{victim}, true, m.intn(3) == 0)
	time.Sleep(m.between(500*time.Millisecond, 2*time.Second))
	m.heal()
	for range 2 + m.intn(4) {
		if m.defect == transfersToLagging {
			m.forceTransfer(victim)
		} else {
			m.transferLeadership()
		}
		time.Sleep(m.between(10*time.Millisecond, 700*time.Millisecond))
	}
}

// transferLeadership makes all members that lead transfer leadership.
func (m *model) transferLeadership() {
	for _, name := range m.running() {
		m.member(name).TransferLeadership(context.Background())
	}
}

// forceTransfer implements the defect transfersToLagging: it transfers leadership without
// waiting until the next leader has the whole log.
func (m *model) forceTransfer(name walnutramp.NodeName) {
	for _, other := range m.running() {
		leader := m.member(other)
		if !leader.Leads() || other == name {
			continue
		}
		m.mu.Lock()
		to := m.nodes[name].identity
		m.mu.Unlock()
		args := consensus.TimeoutNowArgs{Term: leader.Status().Term, Leader: other, To: to}
		m.member(name).Handler().TimeoutNow(args, &consensus.TimeoutNowReply{})
	}
}

func (m *model) member(name walnutramp.NodeName) *consensus.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nodes[name].member
}

var errConnectionRefused = errors.New("connection refused")

type modelInput struct {
	offer   bool
	version uint64
}

// maxRegister models the group as a register that only increases.
var maxRegister = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		held, in := state.(uint64), input.(modelInput)
		if in.offer {
			return true, max(held, in.version)
		}
		return output.(uint64) == held, held
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

func (m *model) recordOperation(client int, in modelInput, out uint64, call time.Time, returned bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	op := porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(call.Sub(m.began)), Return: int64(time.Since(m.began))}
	if !returned {
		op.Return = int64(time.Hour) // may still take effect
	}
	m.history = append(m.history, op)
}

// client returns the client of a random running node.
func (m *model) client() (*Client, *modelNode) {
	name := m.randomNode()
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.nodes[name]
	n.client.SetMembers(n.member.Status().Group.Nodes())
	return n.client, n
}

func (m *model) offer(client int) {
	c, _ := m.client()
	m.mu.Lock()
	m.version += uint64(m.rng.IntN(3) + 1)
	version := m.version
	doc := strconv.AppendUint(nil, version, 10)
	if m.rng.IntN(8) == 0 {
		for len(doc) < modelLongDocumentBytes {
			doc = append(doc, byte(m.rng.IntN(256)))
		}
	}
	m.mu.Unlock()
	call := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	_, err := c.Offer(ctx, version, doc)
	m.recordOperation(client, modelInput{offer: true, version: version}, 0, call, err == nil)
}

func (m *model) read(client int) bool {
	c, n := m.client()
	call := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	version, _, ok := c.Newest(ctx)
	if m.defect == unconfirmedReads {
		version, ok = n.state.newestVersion(), true
	}
	if ok {
		m.recordOperation(client, modelInput{}, version, call, true)
	}
	return ok
}

func (s *State) newestVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest().Version
}

// runSchedule runs one schedule. It reports whether the history is linearizable and
// whether the group serves again at the end.
func runSchedule(t *testing.T, seed uint64, d defect, episodes int) (linearizable, served bool) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(seed, d)
		time.Sleep(3 * time.Second)
		ctx, stop := context.WithCancel(context.Background())
		var operators sync.WaitGroup
		for i := range 3 {
			operators.Go(func() {
				for ctx.Err() == nil {
					if i == 2 {
						m.read(i)
					} else {
						m.offer(i)
					}
					time.Sleep(m.between(50*time.Millisecond, 500*time.Millisecond))
				}
			})
		}
		for range episodes {
			m.episode()
		}
		stop()
		operators.Wait()
		for range 8 {
			if served = m.read(9); served {
				break
			}
		}
		for name := range m.nodes {
			m.kill(name, false)
		}
		linearizable = porcupine.CheckOperations(maxRegister, m.history)
	})
	return linearizable, served
}

func seedsFromEnvironment(fallback int) int {
	if n, err := strconv.Atoi(os.Getenv("WALNUTRAMP_MODEL_SEEDS")); err == nil {
		return n
	}
	return fallback
}

// modelShards is the number of schedules that run in parallel.
const modelShards = 8

func TestModel(t *testing.T) {
	seeds := seedsFromEnvironment(1000)
	for shard := range modelShards {
		t.Run(fmt.Sprint("shard ", shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < seeds; seed += modelShards {
				linearizable, served := runSchedule(t, uint64(seed), noDefect, 4)
				require.True(t, linearizable, "seed %d", seed)
				require.True(t, served, "seed %d: the group does not serve again", seed)
			}
		})
	}
}

// Each injected defect must be detected: the history is not linearizable, or the group
// does not serve again.
func TestModelDetectsDefects(t *testing.T) {
	for name, d := range map[string]defect{
		"keeps its identity after a disk loss": keepsIdentity, "acknowledges before the sync": acksBeforeSync, "reads without confirmation": unconfirmedReads,
		"changes two members at once": twoMemberChanges, "ignores the identity of a replaced voter": ignoresIdentity, "transfers leadership to a lagging member": transfersToLagging,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const most = 400
			for seed := range uint64(most) {
				linearizable, served := runSchedule(t, seed, d, 4)
				if !linearizable || !served {
					t.Logf("detected with seed %d: linearizable %v, serves again %v", seed, linearizable, served)
					return
				}
			}
			t.Fatalf("not detected in %d seeds", most)
		})
	}
}
