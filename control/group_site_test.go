package control_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/internal/memfs"
	"k8s.io/klog/v2"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// group is an in-process control group whose calls are delayed, lost and
// partitioned by a seeded random generator.
type group struct {
	t       *testing.T
	names   []walnutramp.NodeName
	private string
	ops     bundle.Operators

	mu      sync.Mutex
	rng     *rand.Rand
	members map[walnutramp.NodeName]*member
	cut     map[[2]walnutramp.NodeName]bool
	loss    float64
}

type member struct {
	disk    *memfs.FS
	raft    *consensus.Member
	state   *control.State
	server  *control.Server
	handler *consensus.Handler
	up      bool
}

func newGroup(t *testing.T, n int, seed uint64) *group {
	public, private, err := bundle.NewOperatorKey()
	require.NoError(t, err)
	ops, err := bundle.ParseOperators([]byte("harbour " + public))
	require.NoError(t, err)
	g := &group{
		t: t, private: private, ops: ops, rng: rand.New(rand.NewPCG(seed, 11)),
		members: map[walnutramp.NodeName]*member{}, cut: map[[2]walnutramp.NodeName]bool{},
	}
	for i := range n {
		name := walnutramp.NodeName(fmt.Sprintf("c%d", i+1))
		g.names = append(g.names, name)
		g.members[name] = &member{disk: memfs.New()}
		require.NoError(t, control.WriteFounderIdentity(g.members[name].disk))
	}
	for _, name := range g.names {
		require.NoError(t, g.start(name))
	}
	return g
}

func (g *group) start(name walnutramp.NodeName) error {
	m := g.members[name]
	identity, err := control.LoadOrCreateIdentity(m.disk)
	if err != nil {
		return err
	}
	var founding consensus.Group
	if identity == consensus.Founder {
		founding = control.FoundingGroup(g.names)
	}
	state := control.NewState()
	raft, err := consensus.New(name, identity, m.disk, founding, peers{g, name}, state,
		consensus.WithSeed(g.random(1<<30)), consensus.WithCompaction(20_000))
	if err != nil {
		return err
	}
	g.mu.Lock()
	m.raft, m.state, m.handler, m.up = raft, state, raft.Handler(), true
	m.server = control.NewServer(raft, state, g.ops)
	g.mu.Unlock()
	raft.Start()
	return nil
}

func (g *group) random(n int) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return uint64(g.rng.IntN(n))
}

// crash crashes a member; some unsynced bytes may survive.
func (g *group) crash(name walnutramp.NodeName) {
	m := g.members[name]
	g.mu.Lock()
	up := m.up
	m.up = false
	g.mu.Unlock()
	if !up {
		return
	}
	m.raft.Close()
	m.disk.Crash(int(g.random(40)))
}

func (g *group) close() {
	for _, name := range g.names {
		g.crash(name)
	}
}

// reachable returns the member, if a call from a node can reach it now, and the
// delay.
func (g *group) reachable(from, to walnutramp.NodeName) (*member, time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[to]
	delay := time.Duration(g.rng.IntN(8)+1) * time.Millisecond
	if !m.up || g.cut[[2]walnutramp.NodeName{from, to}] || g.rng.Float64() < g.loss {
		return nil, delay, false
	}
	current := *m // copy: the member may be restarted during the call
	return &current, delay, true
}

// peers are the connections of one node. Each direction can be cut separately.
type peers struct {
	g    *group
	from walnutramp.NodeName
}

func (p peers) Call(ctx context.Context, to walnutramp.NodeName, method string, args, reply any) error {
	m, delay, ok := p.g.reachable(p.from, to)
	if !wait(ctx, delay) {
		return ctx.Err()
	}
	if !ok {
		<-ctx.Done()
		return ctx.Err()
	}
	done := make(chan error, 1)
	go func() { done <- dispatch(m, method, args, reply) }()
	select {
	case err := <-done:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	if p.from != "client" {
		if _, _, ok := p.g.reachable(to, p.from); !ok {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	if !wait(ctx, delay) {
		return ctx.Err()
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func dispatch(m *member, method string, args, reply any) error {
	switch method {
	case consensus.Service + ".Vote":
		return m.handler.Vote(args.(consensus.VoteArgs), reply.(*consensus.VoteReply))
	case consensus.Service + ".Append":
		return m.handler.Append(args.(consensus.AppendArgs), reply.(*consensus.AppendReply))
	case control.Service + ".Newest":
		return m.server.Newest(args.(control.NewestArgs), reply.(*control.NewestReply))
	case control.Service + ".Submit":
		return m.server.Submit(args.(control.SubmitArgs), reply.(*control.DoReply))
	case control.Service + ".Do":
		return m.server.Do(args.(control.DoArgs), reply.(*control.DoReply))
	}
	return errors.Newf("no method %s", method)
}

func (p peers) String() string { return string(p.from) }

// inGroup runs f in virtual time on a new group of n members after its first election.
func inGroup(t *testing.T, n int, seed uint64, f func(t *testing.T, g *group)) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, n, seed)
		defer g.close()
		time.Sleep(3 * time.Second)
		f(t, g)
	})
}

func (g *group) setCut(a, b walnutramp.NodeName, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a != b {
		g.cut[[2]walnutramp.NodeName{a, b}] = on
	}
}
