package consensus

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/memfs"
	"github.com/walnutramp/walnutramp/wal"
)

// Timing of the clusters under test, as in production.
const (
	testHeartbeat = 100 * time.Millisecond
	testElection  = 400 * time.Millisecond
)

// cluster is a group of members connected by a simulated network with delay and
// loss.
type cluster struct {
	t       *testing.T
	members map[walnutramp.NodeName]*Member
	names   []walnutramp.NodeName

	mu    sync.Mutex
	delay func(from, to walnutramp.NodeName) time.Duration
	drop  func(from, to walnutramp.NodeName, method string) bool
}

// countingMachine is a state machine that counts applied commands.
type countingMachine struct {
	mu sync.Mutex
	n  int
}

func (c *countingMachine) Apply(uint64, []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return nil
}
func (c *countingMachine) Snapshot() []byte     { return nil }
func (c *countingMachine) Restore([]byte) error { return nil }

// inCluster runs f on a group of n members, with links of oneWayDelay, in a synctest
// bubble.
func inCluster(t *testing.T, n int, seed uint64, oneWayDelay time.Duration, f func(*testing.T, *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, n, seed, oneWayDelay, func(walnutramp.NodeName) wal.FS { return memfs.New() })
		defer c.close()
		f(t, c)
	})
}

// newRealCluster starts a group in real time, on disks that can stall; a member
// blocked on its disk with its mutex held would stop synctest's clock.
func newRealCluster(t *testing.T, n int) (*cluster, map[walnutramp.NodeName]*stallingDisk) {
	disks := map[walnutramp.NodeName]*stallingDisk{}
	c := newCluster(t, n, 1, time.Millisecond, func(name walnutramp.NodeName) wal.FS {
		disks[name] = &stallingDisk{FS: memfs.New()}
		return disks[name]
	})
	t.Cleanup(c.close)
	return c, disks
}

func newCluster(t *testing.T, n int, seed uint64, oneWayDelay time.Duration, disk func(walnutramp.NodeName) wal.FS) *cluster {
	c := &cluster{t: t, members: map[walnutramp.NodeName]*Member{}}
	c.delay = func(walnutramp.NodeName, walnutramp.NodeName) time.Duration { return oneWayDelay }
	c.drop = func(walnutramp.NodeName, walnutramp.NodeName, string) bool { return false }
	var founding Group
	for i := range n {
		name := walnutramp.NodeName(fmt.Sprintf("n%d", i+1))
		c.names = append(c.names, name)
		founding.Voters = append(founding.Voters, Voter{Node: name, Identity: Founder})
	}
	for i, name := range c.names {
		m, err := New(name, Founder, disk(name), founding, clusterPeers{c, name}, &countingMachine{},
			WithTiming(testHeartbeat, testElection), WithSeed(seed*100+uint64(i)))
		require.NoError(t, err)
		c.members[name] = m
	}
	for _, m := range c.members {
		m.Start()
	}
	return c
}

func (c *cluster) close() {
	for _, m := range c.members {
		m.Close()
	}
}

// clusterPeers sends a member's calls through the simulated network. A call whose request
// or reply is lost blocks until its context ends.
type clusterPeers struct {
	c    *cluster
	from walnutramp.NodeName
}

// Call implements Peers.
func (p clusterPeers) Call(ctx context.Context, to walnutramp.NodeName, method string, args, reply any) error {
	if !p.c.transmit(ctx, p.from, to, method) {
		<-ctx.Done()
		return ctx.Err()
	}
	m := p.c.member(to)
	if m == nil {
		return errors.New("connection refused")
	}
	if err := deliver(m.Handler(), method, args, reply); err != nil {
		return err
	}
	if !p.c.transmit(ctx, to, p.from, method) {
		<-ctx.Done()
	}
	return ctx.Err()
}

func deliver(h *Handler, method string, args, reply any) error {
	switch method {
	case Service + ".Vote":
		return h.Vote(args.(VoteArgs), reply.(*VoteReply))
	case Service + ".Append":
		return h.Append(args.(AppendArgs), reply.(*AppendReply))
	case Service + ".Ping":
		return h.Ping(args.(PingArgs), reply.(*PingReply))
	case Service + ".TimeoutNow":
		return h.TimeoutNow(args.(TimeoutNowArgs), reply.(*TimeoutNowReply))
	}
	return errors.Newf("unknown method %s", method)
}

// transmit waits for the one-way delay of a message; false if the message is lost or ctx
// ends.
func (c *cluster) transmit(ctx context.Context, from, to walnutramp.NodeName, method string) bool {
	c.mu.Lock()
	delay, lost := c.delay(from, to), c.drop(from, to, method)
	c.mu.Unlock()
	if lost {
		return false
	}
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *cluster) member(name walnutramp.NodeName) *Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[name]
}

// kill makes a member unreachable and closes it, without handing over leadership.
func (c *cluster) kill(name walnutramp.NodeName) {
	c.mu.Lock()
	m := c.members[name]
	delete(c.members, name)
	c.mu.Unlock()
	m.Close()
}

// leader returns the leader of the newest term, or nil.
func (c *cluster) leader() *Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var newest *Member
	for _, m := range c.members {
		if m.Leads() && (newest == nil || m.Status().Term > newest.Status().Term) {
			newest = m
		}
	}
	return newest
}

// awaitLeader waits for a leader confirmed by a majority.
func (c *cluster) awaitLeader() *Member {
	for range 10_000 {
		if m := c.leader(); m != nil && m.Confirm(c.t.Context()) {
			return m
		}
		time.Sleep(time.Millisecond)
	}
	c.t.Fatal("no leader elected")
	return nil
}
