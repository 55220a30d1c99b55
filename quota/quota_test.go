package quota

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

const (
	testSpan      = 11 * time.Second
	schedulesInCI = 200
)

// model is a group and its nodes in virtual time. The set is what is agreed on; each
// leader has a register of its own.
type model struct {
	rng     *rand.Rand
	set     Set
	leaders []*Register
	leads   int
	slow    time.Duration // that a question or an answer takes at most
	nodes   []*modelNode
	used    []use
}

// modelNode is one address, with the life that runs there now.
type modelNode struct {
	self   Node
	part   *Holder
	up     bool
	began  time.Time // when this life began
	cutOff time.Time // until when no question reaches the group
	asks   []modelAsk
}

// modelAsk is a question under way.
type modelAsk struct {
	asked, reaches, answered time.Time
	word                     Word
	noted                    bool
}

// use is what one node used of the amount at a time.
type use struct {
	at   time.Time
	node int
	part float64
}

func newModel(seed uint64, nodes int) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), slow: 1500 * time.Millisecond}
	for range 3 {
		m.leaders = append(m.leaders, NewRegister(testSpan))
	}
	m.leaders[0].Begin()
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
	n.self.Life, n.part, n.up, n.asks = m.rng.Uint64()|1, NewHolder(testSpan), true, nil
	n.began = uptime.Now()
}

// step lets 100 ms pass: questions go out, reach the leader, and are answered.
func (m *model) step(open bool) {
	time.Sleep(100 * time.Millisecond)
	now := uptime.Now()
	r := m.leaders[m.leads]
	for _, n := range m.nodes {
		if !n.up || now.Before(n.cutOff) {
			continue
		}
		if len(n.asks) == 0 || now.Sub(n.asks[len(n.asks)-1].asked) > time.Second {
			reaches := now.Add(m.upTo(m.slow))
			n.asks = append(n.asks, modelAsk{asked: now, reaches: reaches, answered: reaches.Add(m.upTo(m.slow))})
		}
		for i := range n.asks {
			ask := &n.asks[i]
			if !ask.noted && !now.Before(ask.reaches) {
				ask.noted = true
				r.Note(n.self)
				ask.word = r.Word(m.set, n.self)
			}
		}
		for len(n.asks) > 0 && n.asks[0].noted && !now.Before(n.asks[0].answered) {
			n.part.Take(n.asks[0].word, n.asks[0].asked)
			n.asks = n.asks[1:]
		}
	}
	next, in, out := r.Next(m.set)
	next.Open = next.Open || open
	if len(in)+len(out) > 0 || next.Open != m.set.Open {
		switch m.rng.IntN(6) {
		case 0: // it came to nothing
		case 1: // what came of it is not known
			m.set = next
		default:
			m.set = next
			r.Agreed(next)
		}
	}
}

func (m *model) upTo(d time.Duration) time.Duration { return time.Duration(m.rng.Int64N(int64(d))) }

// befall has something happen to a node, or to the leader.
func (m *model) befall() {
	i := m.rng.IntN(len(m.nodes))
	n := m.nodes[i]
	switch m.rng.IntN(6) {
	case 0, 1:
		m.start(i) // killed, and started again
	case 2:
		n.up = false
	case 3:
		n.cutOff = uptime.Now().Add(m.upTo(2 * AwayTime))
	case 4:
		m.leads = m.rng.IntN(len(m.leaders))
		m.leaders[m.leads].Begin()
	case 5:
		if !n.up {
			m.start(i)
		}
	}
}

// useAll has nodes use all of their parts that they have not used within the span.
func (m *model) useAll(nodes int) {
	now := uptime.Now()
	for range nodes {
		i := m.rng.IntN(len(m.nodes))
		n := m.nodes[i]
		if !n.up {
			continue
		}
		left := n.part.Part()
		for _, u := range m.used {
			if u.node == i && now.Sub(u.at) < testSpan && !u.at.Before(n.began) { // its life before is forgotten
				left -= u.part
			}
		}
		if left > 1e-9 {
			m.used = append(m.used, use{at: now, node: i, part: left})
		}
	}
}

// Whatever befalls nodes and leaders, parts that are used within any span never add up
// to more than the whole; and when all is calm for a while, all of it can be used.
func TestPartsNeverAddUpToMoreThanTheWhole(t *testing.T) {
	schedules := schedulesInCI
	if text := os.Getenv("WALNUTRAMP_QUOTA_SCHEDULES"); text != "" {
		var err error
		schedules, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	most, used := 0.0, 0
	for seed := range uint64(schedules) {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(seed, 4+int(seed%9))
			for step := range 1500 {
				m.step(step >= 20)
				if step < 1200 && m.rng.IntN(25) == 0 {
					m.befall()
				}
				if m.rng.IntN(1+int(seed%30)) == 0 {
					m.useAll(1 + m.rng.IntN(len(m.nodes)))
				}
			}
			for last, u := range m.used {
				sum := 0.0
				for first := last; first >= 0 && u.at.Sub(m.used[first].at) < testSpan; first-- {
					sum += m.used[first].part
				}
				most = max(most, sum)
				require.LessOrEqual(t, sum, 1+1e-6, "seed %d", seed)
			}
			used += len(m.used)
		})
	}
	t.Logf("used %d times, at most %.3f of the whole within a span", used, most)
	require.Greater(t, most, 0.99)
}

// After a time of calm each node of a site has its part, and a node that was away for a
// while has it as soon as it is told again.
func TestNodesHaveTheirPartsInCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(3, 8)
		m.slow = 200 * time.Millisecond
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
			require.InDelta(t, 1./8, n.part.Part(), 1e-9, "node %d, which was there first", i)
		}
		away := m.nodes[2]
		away.cutOff = uptime.Now().Add(AwayTime - 8*time.Second)
		steps(100)
		require.Zero(t, away.part.Part(), "it has not heard of the group for long")
		steps(180)
		require.InDelta(t, 1./8, away.part.Part(), 1e-9, "it goes on")
		m.start(5)
		steps(100)
		require.Zero(t, m.nodes[5].part.Part(), "its process before may have used the part")
		steps(150)
		require.InDelta(t, 1./8, m.nodes[5].part.Part(), 1e-9, "a span has passed")
	})
}
