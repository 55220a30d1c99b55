package quota

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

const (
	testSpan      = 11 * time.Second
	keySpan       = 6500 * time.Millisecond // of keys, shorter than that of the shares
	schedulesInCI = 200
)

// model simulates the control group and its nodes in virtual time. The set is
// replicated; each leader has its own register.
type model struct {
	rng      *rand.Rand
	listRNG  *rand.Rand // decides which lists of nodes are lost
	set      Set
	leaders  []*Register
	leader   int
	maxDelay time.Duration // longest one-way delay of a request or an answer
	nodes    []*modelNode
	used     []use
}

// modelNode is one address and the process that runs there.
type modelNode struct {
	self             Node
	holder           *Holder
	ownership        *Ownership
	up               bool
	startedAt        time.Time // when this process started
	partitionedUntil time.Time // partitioned from the group until then
	requests         []modelRequest
}

// modelRequest is a request in flight.
type modelRequest struct {
	sentAt, arrivesAt, answeredAt time.Time
	assignment                    Assignment
	members                       Members
	recorded                      bool
}

// use is a part of the quota that a node used.
type use struct {
	at    time.Time
	node  int
	share float64
}

func newModel(seed uint64, nodes int) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), listRNG: rand.New(rand.NewPCG(seed, 2)), maxDelay: 1500 * time.Millisecond}
	for range 3 {
		m.leaders = append(m.leaders, NewRegister(testSpan))
	}
	m.leaders[0].BecomeLeader()
	for i := range nodes {
		m.nodes = append(m.nodes, &modelNode{self: Node{Address: fmt.Sprint(i)}})
		if m.rng.IntN(4) > 0 {
			m.start(i)
		}
	}
	return m
}

func (m *model) start(i int) {
	n := m.nodes[i]
	n.self.Incarnation, n.holder, n.up, n.requests = m.rng.Uint64()|1, NewHolder(testSpan), true, nil
	n.startedAt = uptime.Now()
	n.ownership = NewOwnership(n.holder, n.self.Address, keySpan)
}

// step advances 100 ms: nodes send requests, the leader answers, and answers arrive.
func (m *model) step(open bool) {
	time.Sleep(100 * time.Millisecond)
	now := uptime.Now()
	r := m.leaders[m.leader]
	for _, n := range m.nodes {
		if !n.up || now.Before(n.partitionedUntil) {
			continue
		}
		if len(n.requests) == 0 || now.Sub(n.requests[len(n.requests)-1].sentAt) > time.Second {
			arrivesAt := now.Add(m.delay(m.maxDelay))
			n.requests = append(n.requests, modelRequest{sentAt: now, arrivesAt: arrivesAt, answeredAt: arrivesAt.Add(m.delay(m.maxDelay))})
		}
		for i := range n.requests {
			req := &n.requests[i]
			if !req.recorded && !now.Before(req.arrivesAt) {
				req.recorded = true
				r.RecordRequest(n.self)
				req.assignment = r.Assignment(m.set, n.self)
				req.members = membersOf(m.set)
				req.assignment.Members = req.members.Version()
			}
		}
		for len(n.requests) > 0 && n.requests[0].recorded && !now.Before(n.requests[0].answeredAt) {
			if m.listRNG.IntN(3) > 0 { // else the list was lost
				n.ownership.SetMembers(n.requests[0].members)
			}
			n.holder.Apply(n.requests[0].assignment, n.requests[0].sentAt)
			n.requests = n.requests[1:]
		}
	}
	next, in, out := r.Next(m.set)
	next.Open = next.Open || open
	if len(in)+len(out) > 0 || next.Open != m.set.Open {
		switch m.rng.IntN(6) {
		case 0: // the change is lost
		case 1: // the change is applied, but the leader does not learn of it
			m.set = next
		default:
			m.set = next
			r.Committed(next)
		}
	}
}

// membersOf returns the list of a set's nodes.
func membersOf(set Set) Members {
	addresses := slices.Sorted(maps.Keys(set.Lives))
	return NewMembers(xxhash.Sum64String(fmt.Sprint(addresses)), addresses)
}

func (m *model) delay(d time.Duration) time.Duration { return time.Duration(m.rng.Int64N(int64(d))) }

// injectFault injects a random fault: a crash, restart, partition or change of leader.
func (m *model) injectFault() {
	i := m.rng.IntN(len(m.nodes))
	n := m.nodes[i]
	switch m.rng.IntN(6) {
	case 0, 1:
		m.start(i) // restart after a crash
	case 2:
		n.up = false
	case 3:
		n.partitionedUntil = uptime.Now().Add(m.delay(2 * MaxAbsence))
	case 4:
		m.leader = m.rng.IntN(len(m.leaders))
		m.leaders[m.leader].BecomeLeader()
	case 5:
		if !n.up {
			m.start(i)
		}
	}
}

// useShares has random nodes use what is left of their shares within the span.
func (m *model) useShares(nodes int) {
	now := uptime.Now()
	for range nodes {
		i := m.rng.IntN(len(m.nodes))
		n := m.nodes[i]
		if !n.up {
			continue
		}
		left := n.holder.Share()
		for _, u := range m.used {
			if u.node == i && now.Sub(u.at) < testSpan && !u.at.Before(n.startedAt) { // a new process does not know what its predecessor used
				left -= u.share
			}
		}
		if left > 1e-9 {
			m.used = append(m.used, use{at: now, node: i, share: left})
		}
	}
}

// Under random crashes, partitions and changes of leader, the shares used within any
// span must never add up to more than the quota, and after recovery all of it must be
// usable.
func TestSharesNeverExceedTheQuota(t *testing.T) {
	most, used := 0.0, 0
	for seed := range schedulesOf(t) {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(seed, 4+int(seed%9))
			for step := range 1500 {
				m.step(step >= 20)
				if step < 1200 && m.rng.IntN(25) == 0 {
					m.injectFault()
				}
				if m.rng.IntN(1+int(seed%30)) == 0 {
					m.useShares(1 + m.rng.IntN(len(m.nodes)))
				}
			}
			for last, u := range m.used {
				sum := 0.0
				for first := last; first >= 0 && u.at.Sub(m.used[first].at) < testSpan; first-- {
					sum += m.used[first].share
				}
				most = max(most, sum)
				require.LessOrEqual(t, sum, 1+1e-6, "seed %d", seed)
			}
			used += len(m.used)
		})
	}
	t.Logf("used %d times, at most %.3f of the quota within a span", used, most)
	require.Greater(t, most, 0.99)
}

// Without faults each node must have its share, and a node that was partitioned for
// less than MaxAbsence must have it again at once.
func TestNodesHaveTheirSharesWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(3, 8)
		m.maxDelay = 200 * time.Millisecond
		for i := range m.nodes {
			m.start(i)
		}
		for step := range 30 {
			m.step(step >= 20)
		}
		steps := func(n int) {
			for range n {
				m.step(true)
			}
		}
		steps(60)
		for i, n := range m.nodes {
			require.InDelta(t, 1./8, n.holder.Share(), 1e-9, "node %d, which joined before the set was opened", i)
		}
		away := m.nodes[2]
		away.partitionedUntil = uptime.Now().Add(MaxAbsence - 8*time.Second)
		steps(100)
		require.Zero(t, away.holder.Share(), "its assignment has expired")
		steps(180)
		require.InDelta(t, 1./8, away.holder.Share(), 1e-9, "it resumes its share")
		m.start(5)
		steps(100)
		require.Zero(t, m.nodes[5].holder.Share(), "its previous process may have used the share")
		steps(150)
		require.InDelta(t, 1./8, m.nodes[5].holder.Share(), 1e-9, "a span has passed")
	})
}

// schedulesOf returns how many random schedules to run.
func schedulesOf(t *testing.T) uint64 {
	text := os.Getenv("WALNUTRAMP_QUOTA_SCHEDULES")
	if text == "" {
		return schedulesInCI
	}
	n, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err)
	return n
}

// keyUse is the latest use of a key.
type keyUse struct {
	process uint64 // incarnation of the node
	at      time.Time
}

// Under random crashes, partitions and changes of leader, two processes must never use the
// same key within one span, and after recovery all keys must have an owner.
func TestKeysHaveOneOwnerWithinASpan(t *testing.T) {
	const keys = 12
	used, handedOver := 0, 0
	for seed := range schedulesOf(t) {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(seed, 3+int(seed%6))
			latest := map[string]keyUse{}
			use := func(n *modelNode) {
				if !n.up {
					return
				}
				members, usable := n.ownership.Members()
				for k := range keys {
					key := fmt.Sprint("key-", k)
					if !usable || members.Owner(key) != n.self.Address {
						continue
					}
					now, previous := uptime.Now(), latest[key]
					if previous.process != 0 && previous.process != n.self.Incarnation {
						handedOver++
						require.GreaterOrEqual(t, now.Sub(previous.at), keySpan, "seed %d, %s", seed, key)
					}
					latest[key] = keyUse{process: n.self.Incarnation, at: now}
					used++
				}
			}
			for step := range 2000 { // the last half lets dead nodes be removed
				if step == 1900 {
					m.maxDelay = 200 * time.Millisecond // answers are no longer too late to count
				}
				m.step(step >= 20)
				if step < 900 && m.rng.IntN(25) == 0 {
					m.injectFault()
				}
				for _, n := range m.nodes {
					use(n)
				}
			}
			owned := 0
			for _, u := range latest {
				if uptime.Since(u.at) < time.Second {
					owned++
				}
			}
			if slices.ContainsFunc(m.nodes, func(n *modelNode) bool { return n.up }) {
				require.Equal(t, keys, owned, "seed %d", seed)
			}
		})
	}
	t.Logf("%d uses, %d changes of the owner", used, handedOver)
	require.Positive(t, handedOver)
}
