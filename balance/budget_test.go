package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quota"
)

// siteBudget is the bound that the sites of these tests have.
var siteBudget = BudgetConfig{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}

// repeatSite is the nodes of a site in virtual time, with what clients asked of it and
// how often targets got something again.
type repeatSite struct {
	nodes    []*repeatNode
	set      quota.Set
	register *quota.Register
	rng      *rand.Rand
	requests []time.Time
	repeats  []time.Time
	// reaches says whether a node reaches the control group now.
	reaches func(node int) bool
	lag     time.Duration // of the group's answers
}

// repeatNode is one life of a node.
type repeatNode struct {
	*Budgets
	part *quota.Holder
	self quota.Node
}

// Times and rates of these sites.
const (
	siteStep   = 20 * time.Millisecond
	siteAsk    = 500 * time.Millisecond // between two questions to the group
	siteAsks   = 31.0                   // requests a second, over all nodes
	siteNodes  = 79
	siteWarmup = 30 * time.Second
)

func newRepeatSite(nodes int) *repeatSite {
	s := &repeatSite{rng: rand.New(rand.NewPCG(11, 13)), reaches: func(int) bool { return true },
		register: quota.NewRegister(siteBudget.TakenWithin()), nodes: make([]*repeatNode, nodes)}
	s.register.Begin()
	for i := range s.nodes {
		s.restart(i)
	}
	s.ask()
	return s
}

// restart forgets all that a node holds, as its process does that is killed.
func (s *repeatSite) restart(node int) {
	part := quota.NewHolder(siteBudget.TakenWithin())
	bound := siteBudget
	bound.Part = part.Part
	s.nodes[node] = &repeatNode{Budgets: NewBudgets(bound), part: part, self: quota.Node{Address: fmt.Sprint(node), Life: s.rng.Uint64() | 1}}
}

// pass lets requests come for a while.
func (s *repeatSite) pass(d time.Duration) {
	for passed := time.Duration(0); passed < d; passed += siteStep {
		time.Sleep(siteStep)
		for range s.poisson(siteAsks * siteStep.Seconds()) {
			s.nodes[s.rng.IntN(len(s.nodes))].Of("s").Earn()
			s.requests = append(s.requests, time.Now())
		}
		if passed%siteAsk == 0 {
			s.ask()
		}
	}
}

// ask has each node that reaches the control group ask it once.
func (s *repeatSite) ask() {
	for i, n := range s.nodes {
		if s.reaches(i) {
			s.register.Note(n.self)
		}
	}
	s.set, _, _ = s.register.Next(s.set)
	s.set.Open = true
	s.register.Agreed(s.set)
	for i, n := range s.nodes {
		if s.reaches(i) {
			n.part.Take(s.register.Word(s.set, n.self), uptime.Now().Add(-s.lag))
		}
	}
}

// poisson draws how many of events of a small mean happen.
func (s *repeatSite) poisson(mean float64) int {
	n := 0
	for left := mean - s.rng.ExpFloat64(); left > 0; left -= s.rng.ExpFloat64() {
		n++
	}
	return n
}

// spend has nodes repeat as often as they may, one after the other.
func (s *repeatSite) spend(nodes ...int) {
	for _, i := range nodes {
		for spends(s.nodes[i].Of("s")) {
			s.repeats = append(s.repeats, time.Now())
		}
	}
}

// spends takes a repeat of a budget, and reports whether there was one.
func spends(b *Budget) bool {
	_, ok := b.Spend()
	return ok
}

// left reports whether a budget has a repeat left.
func left(b *Budget) bool {
	r, ok := b.Spend()
	if ok {
		b.Refund(r)
	}
	return ok
}

// lend has a node take what some others have left, each repeat when it was asked for, and
// use it as late as it may.
func (s *repeatSite) lend(to int, from ...int) {
	asked := uptime.Now()
	borrower := s.nodes[to].Of("s")
	for _, i := range from {
		for s.nodes[i].Of("s").Lend() {
			borrower.Borrowed(asked)
		}
	}
	time.Sleep(borrower.SendWithin() - time.Millisecond)
	s.spend(to)
}

// all are the numbers of all nodes.
func (s *repeatSite) all() []int {
	all := make([]int, len(s.nodes))
	for i := range all {
		all[i] = i
	}
	return all
}

// within counts times in the window that begins at one.
func within(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(siteBudget.Window), time.Time.Compare)
	return end - first
}

// allowed is how many repeats the window that begins at a time may hold. The requests of
// the one before it, or half a window before, count where they are more.
func (s *repeatSite) allowed(from time.Time) float64 {
	requests := 0
	for _, before := range []time.Duration{0, siteBudget.Window / 2, siteBudget.Window} {
		requests = max(requests, within(s.requests, from.Add(-before)))
	}
	return siteBudget.Ratio*float64(requests) + siteBudget.Slack
}

// requireBound checks every window in which repeats lie: those that begin with one, and
// those that end with one.
func (s *repeatSite) requireBound(t *testing.T) {
	t.Helper()
	for _, at := range s.repeats {
		for _, from := range []time.Time{at, at.Add(time.Nanosecond - siteBudget.Window)} {
			require.LessOrEqual(t, float64(within(s.repeats, from)), s.allowed(from), "in the window from %v", from)
		}
	}
}

// Users of a site of 79 nodes saw up to half more repeats within a window than it
// allows, when all engines lost their connections at once and nodes were killed in
// series. Each node went by what it was told of the others' repeats, and that was late, or
// forgotten with those who had told it; what few took as the site's, others still held for
// their own; and what fell out of a count before its window was over let the next burst
// come just short of it. By that rule each case here passed the bound: 1,071 repeats in the
// least of them, where 379 are allowed. Whatever is told, and to whom, it holds.
func TestRepeatsOfAllNodesStayWithinTheBound(t *testing.T) {
	const shortOfAWindow = 9950 * time.Millisecond
	for name, play := range map[string]func(s *repeatSite){
		"all at one moment": func(s *repeatSite) { s.spend(s.all()...) },
		"bursts just short of a window apart": func(s *repeatSite) {
			for range 3 {
				s.spend(s.all()...)
				s.pass(shortOfAWindow)
			}
		},
		"all the time": func(s *repeatSite) {
			for range 200 {
				s.spend(s.all()...)
				s.pass(200 * time.Millisecond)
			}
		},
		"few spend what others hold, and these then spend theirs": func(s *repeatSite) {
			s.spend(0, 1, 2)
			s.pass(2 * time.Second)
			s.spend(s.all()...)
		},
		"few spend what others lend them": func(s *repeatSite) {
			for range 3 {
				s.lend(0, s.all()[10:]...)
				s.pass(2 * time.Second)
				s.lend(1, s.all()[40:]...)
				s.restart(50)
				s.pass(shortOfAWindow - 3*time.Second)
			}
		},
		"words reach half of the nodes": func(s *repeatSite) {
			s.reaches = func(node int) bool { return node%2 == 0 }
			s.pass(5 * time.Second)
			s.spend(s.all()...)
			s.pass(3 * time.Second)
			s.spend(s.all()...)
		},
		"nobody hears anybody for a while": func(s *repeatSite) {
			s.reaches = func(int) bool { return false }
			for range 20 {
				s.spend(s.all()...)
				s.pass(500 * time.Millisecond)
			}
		},
		"words are late": func(s *repeatSite) {
			s.lag = 2 * time.Second
			for i := range 30 {
				s.restart(i)
			}
			for range 100 {
				s.spend(s.all()...)
				s.pass(200 * time.Millisecond)
			}
		},
		"nodes that spent are killed and start again": func(s *repeatSite) {
			for range 6 {
				s.spend(s.all()...)
				for i := range 40 {
					s.restart(i)
				}
				s.pass(2 * time.Second)
			}
		},
		"all are killed and start again": func(s *repeatSite) {
			s.spend(s.all()...)
			for i := range s.nodes {
				s.restart(i)
			}
			s.pass(4 * time.Second)
			s.spend(s.all()...)
			s.pass(5 * time.Second)
			s.spend(s.all()...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRepeatSite(siteNodes)
				s.pass(siteWarmup)
				play(s)
				require.NotEmpty(t, s.repeats)
				s.requireBound(t)
			})
		})
	}
}

// In calm there are repeats for a third of a window's requests at one moment, as when one
// of three halls of targets ends, and over time for most that is allowed; each node can
// repeat something, and a node alone that had few requests, too.
func TestRepeatsAreThereInCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRepeatSite(siteNodes)
		s.pass(siteWarmup)
		s.spend(s.all()...)
		last := s.repeats[len(s.repeats)-1]
		require.GreaterOrEqual(t, len(s.repeats), within(s.requests, last.Add(-siteBudget.Window))/3)
		s.pass(2 * siteBudget.Window)
		for i, n := range s.nodes {
			require.True(t, spends(n.Of("s")), "node %d", i)
			require.True(t, spends(n.Of("another service")), "node %d", i)
		}
		s.pass(2 * siteBudget.Window)
		s.repeats = nil
		for range 200 {
			s.spend(s.all()...)
			s.pass(200 * time.Millisecond)
		}
		last = s.repeats[len(s.repeats)-1]
		from := last.Add(-siteBudget.Window)
		require.GreaterOrEqual(t, float64(within(s.repeats, from)), s.allowed(from)/2)
	})
	synctest.Test(t, func(t *testing.T) {
		s := newRepeatSite(1)
		s.nodes[0].Of("s").Earn()
		s.requests = append(s.requests, time.Now())
		s.ask()
		s.spend(0)
		require.GreaterOrEqual(t, len(s.repeats), 100, "of a slack of 150")
		s.requireBound(t)
	})
}

// aSixteenth is the part of the slack of one node of sixteen.
func aSixteenth() float64 { return 1. / 16 }

// Nodes that spend in bursts, each by its own requests and its part of the slack, get
// repeats out of it and stay within the bound by the requests of each window alone.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 8
		cfg := BudgetConfig{Ratio: 0.5, Slack: 100, Window: 10 * time.Second, Part: func() float64 { return 1. / nodes }}
		budgets := make([]*Budgets, nodes)
		for i := range budgets {
			budgets[i] = NewBudgets(cfg)
		}
		var requests, repeats []time.Time
		rng := rand.New(rand.NewPCG(7, 7))
		for tick := range 6000 { // a minute in steps of 10 ms
			time.Sleep(10 * time.Millisecond)
			for _, b := range budgets {
				if rng.IntN(30) == 0 {
					b.Of("s").Earn()
					requests = append(requests, time.Now())
				}
				burst := tick%900 < 60
				if burst && rng.IntN(4) == 0 && spends(b.Of("s")) {
					repeats = append(repeats, time.Now())
				}
			}
		}
		require.Greater(t, len(repeats), 300)
		for _, from := range repeats {
			allowed := cfg.Ratio*float64(within(requests, from)) + cfg.Slack
			require.LessOrEqual(t, float64(within(repeats, from)), allowed)
		}
	})
}

func TestBudgetOfANodeAloneIsItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(BudgetConfig{Ratio: 0.8, Slack: 160, Window: 10 * time.Second, Part: aSixteenth})
		spent := 0
		for spends(b) {
			spent++
		}
		require.Equal(t, 10, spent, "a sixteenth of the slack")
		b.SetOther("other", Count{})
		require.False(t, left(b))
		require.False(t, spends(b), "what another node spent is its own")
		time.Sleep(11 * time.Second)
		require.False(t, spends(b), "a repeat may arrive up to a tenth of the window after it was taken")
		time.Sleep(time.Second)
		require.True(t, spends(b), "the window has passed")
	})
}

// What is lent counts where it comes from, whether it is used or not, and is used in time
// or not at all.
func TestLentRepeatIsUsedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bound := BudgetConfig{Slack: 16, Window: 10 * time.Second, Part: aSixteenth}
		lender, borrower := NewBudget(bound), NewBudget(bound)
		require.True(t, spends(borrower))
		require.False(t, left(borrower))
		require.True(t, lender.Lend())
		require.False(t, left(lender), "it was the lender's only one")
		borrower.Borrowed(uptime.Now())
		require.True(t, left(borrower))
		time.Sleep(400 * time.Millisecond)
		taken, ok := borrower.Spend()
		require.True(t, ok)
		require.Equal(t, 400*time.Millisecond, uptime.Since(taken.At), "it counts from then on")
		require.False(t, left(borrower), "it is used once")
		borrower.Borrowed(uptime.Now())
		time.Sleep(borrower.SendWithin())
		require.False(t, spends(borrower), "it may not arrive while it counts")
	})
}

// What did not arrive is given back where it came from.
func TestRepeatThatDidNotArriveIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(BudgetConfig{Slack: 16, Window: 10 * time.Second, Part: aSixteenth})
		own, ok := b.Spend()
		require.True(t, ok)
		require.False(t, left(b))
		time.Sleep(5 * time.Second)
		b.Refund(own)
		require.True(t, left(b))
		require.True(t, spends(b))
		b.Borrowed(uptime.Now())
		lent, ok := b.Spend()
		require.True(t, ok)
		b.Refund(lent)
		require.True(t, spends(b), "what another node lent")
		require.False(t, spends(b), "and once only")
	})
}
