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

// siteBudget is the retry limit of the simulated sites.
var siteBudget = BudgetConfig{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}

// budgetSite simulates the nodes of a site in virtual time and records the clients'
// requests and the retries.
type budgetSite struct {
	nodes    []*budgetNode
	set      quota.Set
	register *quota.Register
	rng      *rand.Rand
	requests []time.Time
	retries  []time.Time
	// reaches reports whether a node reaches the control group now.
	reaches func(node int) bool
	lag     time.Duration // of the control group's answers
}

// budgetNode is one process of a node.
type budgetNode struct {
	*Budgets
	holder *quota.Holder
	self   quota.Node
}

// Parameters of the simulated sites.
const (
	siteStep      = 20 * time.Millisecond
	shareInterval = 500 * time.Millisecond // interval of requests to the control group
	requestRate   = 31.0                   // requests per second, over all nodes
	siteNodes     = 79
	siteWarmup    = 30 * time.Second
)

func newBudgetSite(nodes int) *budgetSite {
	s := &budgetSite{rng: rand.New(rand.NewPCG(11, 13)), reaches: func(int) bool { return true },
		register: quota.NewRegister(siteBudget.SpendPeriod()), nodes: make([]*budgetNode, nodes)}
	s.register.BecomeLeader()
	for i := range s.nodes {
		s.restart(i)
	}
	s.requestShares()
	return s
}

// restart replaces a node's state, as after a crash.
func (s *budgetSite) restart(node int) {
	holder := quota.NewHolder(siteBudget.SpendPeriod())
	cfg := siteBudget
	cfg.Share = holder.Share
	s.nodes[node] = &budgetNode{Budgets: NewBudgets(cfg), holder: holder, self: quota.Node{Address: fmt.Sprint(node), Incarnation: s.rng.Uint64() | 1}}
}

// advance advances time while clients send requests.
func (s *budgetSite) advance(d time.Duration) {
	for passed := time.Duration(0); passed < d; passed += siteStep {
		time.Sleep(siteStep)
		for range s.poisson(requestRate * siteStep.Seconds()) {
			s.nodes[s.rng.IntN(len(s.nodes))].Of("s").Earn()
			s.requests = append(s.requests, time.Now())
		}
		if passed%shareInterval == 0 {
			s.requestShares()
		}
	}
}

// requestShares has each node that reaches the control group request its share once.
func (s *budgetSite) requestShares() {
	for i, n := range s.nodes {
		if s.reaches(i) {
			s.register.RecordRequest(n.self)
		}
	}
	s.set, _, _ = s.register.Next(s.set)
	s.set.Open = true
	s.register.Committed(s.set)
	for i, n := range s.nodes {
		if s.reaches(i) {
			n.holder.Apply(s.register.Assignment(s.set, n.self), uptime.Now().Add(-s.lag))
		}
	}
}

// poisson draws from a Poisson distribution with a small mean.
func (s *budgetSite) poisson(mean float64) int {
	n := 0
	for left := mean - s.rng.ExpFloat64(); left > 0; left -= s.rng.ExpFloat64() {
		n++
	}
	return n
}

// spend has each of the nodes spend all the retries it can.
func (s *budgetSite) spend(nodes ...int) {
	for _, i := range nodes {
		for trySpend(s.nodes[i].Of("s")) {
			s.retries = append(s.retries, time.Now())
		}
	}
}

// trySpend reports whether a retry could be spent.
func trySpend(b *Budget) bool {
	_, ok := b.Spend()
	return ok
}

// hasRetry reports whether a budget has a retry left.
func hasRetry(b *Budget) bool {
	r, ok := b.Spend()
	if ok {
		b.Refund(r)
	}
	return ok
}

// borrow has a node borrow all retries of some others and spend them as late as allowed.
func (s *budgetSite) borrow(to int, from ...int) {
	asked := uptime.Now()
	borrower := s.nodes[to].Of("s")
	for _, i := range from {
		for s.nodes[i].Of("s").Lend() {
			borrower.AddBorrowed(asked)
		}
	}
	time.Sleep(borrower.SendWithin() - time.Millisecond)
	s.spend(to)
}

// all returns the indexes of all nodes.
func (s *budgetSite) all() []int {
	all := make([]int, len(s.nodes))
	for i := range all {
		all[i] = i
	}
	return all
}

// within counts the times in the window that begins at from.
func within(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(siteBudget.Window), time.Time.Compare)
	return end - first
}

// allowed returns the retry limit of the window that begins at from. It uses the
// requests of that window, of the one before, or of the one half a window before,
// whichever are most.
func (s *budgetSite) allowed(from time.Time) float64 {
	requests := 0
	for _, before := range []time.Duration{0, siteBudget.Window / 2, siteBudget.Window} {
		requests = max(requests, within(s.requests, from.Add(-before)))
	}
	return siteBudget.Ratio*float64(requests) + siteBudget.Slack
}

// requireWithinLimit checks each window that begins or ends with a retry.
func (s *budgetSite) requireWithinLimit(t *testing.T) {
	t.Helper()
	for _, at := range s.retries {
		for _, from := range []time.Time{at, at.Add(time.Nanosecond - siteBudget.Window)} {
			require.LessOrEqual(t, float64(within(s.retries, from)), s.allowed(from), "in the window from %v", from)
		}
	}
}

// The site must never exceed its retry limit, whatever nodes know of each other: counts
// exchanged between nodes may be late, or lost with a crashed node.
func TestSiteStaysWithinRetryLimit(t *testing.T) {
	const almostAWindow = 9950 * time.Millisecond
	for name, scenario := range map[string]func(s *budgetSite){
		"all at once": func(s *budgetSite) { s.spend(s.all()...) },
		"bursts slightly less than a window apart": func(s *budgetSite) {
			for range 3 {
				s.spend(s.all()...)
				s.advance(almostAWindow)
			}
		},
		"continuously": func(s *budgetSite) {
			for range 200 {
				s.spend(s.all()...)
				s.advance(200 * time.Millisecond)
			}
		},
		"a few nodes spend first, then all": func(s *budgetSite) {
			s.spend(0, 1, 2)
			s.advance(2 * time.Second)
			s.spend(s.all()...)
		},
		"a few nodes borrow from the others": func(s *budgetSite) {
			for range 3 {
				s.borrow(0, s.all()[10:]...)
				s.advance(2 * time.Second)
				s.borrow(1, s.all()[40:]...)
				s.restart(50)
				s.advance(almostAWindow - 3*time.Second)
			}
		},
		"assignments reach half of the nodes": func(s *budgetSite) {
			s.reaches = func(node int) bool { return node%2 == 0 }
			s.advance(5 * time.Second)
			s.spend(s.all()...)
			s.advance(3 * time.Second)
			s.spend(s.all()...)
		},
		"no node reaches the control group for a while": func(s *budgetSite) {
			s.reaches = func(int) bool { return false }
			for range 20 {
				s.spend(s.all()...)
				s.advance(500 * time.Millisecond)
			}
		},
		"assignments are late": func(s *budgetSite) {
			s.lag = 2 * time.Second
			for i := range 30 {
				s.restart(i)
			}
			for range 100 {
				s.spend(s.all()...)
				s.advance(200 * time.Millisecond)
			}
		},
		"nodes restart after spending": func(s *budgetSite) {
			for range 6 {
				s.spend(s.all()...)
				for i := range 40 {
					s.restart(i)
				}
				s.advance(2 * time.Second)
			}
		},
		"all nodes restart": func(s *budgetSite) {
			s.spend(s.all()...)
			for i := range s.nodes {
				s.restart(i)
			}
			s.advance(4 * time.Second)
			s.spend(s.all()...)
			s.advance(5 * time.Second)
			s.spend(s.all()...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newBudgetSite(siteNodes)
				s.advance(siteWarmup)
				scenario(s)
				require.NotEmpty(t, s.retries)
				s.requireWithinLimit(t)
			})
		})
	}
}

// Without faults, retries must cover a third of a window's requests at once, as after
// the loss of one of three data halls, and most of the limit over time. Each node must
// have some, including a single node with few requests.
func TestRetriesAreAvailableWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBudgetSite(siteNodes)
		s.advance(siteWarmup)
		s.spend(s.all()...)
		last := s.retries[len(s.retries)-1]
		require.GreaterOrEqual(t, len(s.retries), within(s.requests, last.Add(-siteBudget.Window))/3)
		s.advance(2 * siteBudget.Window)
		for i, n := range s.nodes {
			require.True(t, trySpend(n.Of("s")), "node %d", i)
			require.True(t, trySpend(n.Of("another service")), "node %d", i)
		}
		s.advance(2 * siteBudget.Window)
		s.retries = nil
		for range 200 {
			s.spend(s.all()...)
			s.advance(200 * time.Millisecond)
		}
		last = s.retries[len(s.retries)-1]
		from := last.Add(-siteBudget.Window)
		require.GreaterOrEqual(t, float64(within(s.retries, from)), s.allowed(from)/2)
	})
	synctest.Test(t, func(t *testing.T) {
		s := newBudgetSite(1)
		s.nodes[0].Of("s").Earn()
		s.requests = append(s.requests, time.Now())
		s.requestShares()
		s.spend(0)
		require.GreaterOrEqual(t, len(s.retries), 100, "of a slack of 150")
		s.requireWithinLimit(t)
	})
}

// oneSixteenth is the share of the slack of one node of sixteen.
func oneSixteenth() float64 { return 1. / 16 }

// Nodes that spend in bursts must stay within the limit in every window.
func TestBudgetLimitHoldsInEveryWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 8
		cfg := BudgetConfig{Ratio: 0.5, Slack: 100, Window: 10 * time.Second, Share: func() float64 { return 1. / nodes }}
		budgets := make([]*Budgets, nodes)
		for i := range budgets {
			budgets[i] = NewBudgets(cfg)
		}
		var requests, retries []time.Time
		rng := rand.New(rand.NewPCG(7, 7))
		for tick := range 6000 { // one minute in steps of 10 ms
			time.Sleep(10 * time.Millisecond)
			for _, b := range budgets {
				if rng.IntN(30) == 0 {
					b.Of("s").Earn()
					requests = append(requests, time.Now())
				}
				burst := tick%900 < 60
				if burst && rng.IntN(4) == 0 && trySpend(b.Of("s")) {
					retries = append(retries, time.Now())
				}
			}
		}
		require.Greater(t, len(retries), 300)
		for _, from := range retries {
			allowed := cfg.Ratio*float64(within(requests, from)) + cfg.Slack
			require.LessOrEqual(t, float64(within(retries, from)), allowed)
		}
	})
}

func TestBudgetOfOneNodeIsItsShareOfTheSlack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(BudgetConfig{Ratio: 0.8, Slack: 160, Window: 10 * time.Second, Share: oneSixteenth})
		spent := 0
		for trySpend(b) {
			spent++
		}
		require.Equal(t, 10, spent, "a sixteenth of the slack")
		b.SetPeerCount("other", Count{})
		require.False(t, hasRetry(b))
		require.False(t, trySpend(b), "a peer's count does not add to the budget")
		time.Sleep(11 * time.Second)
		require.False(t, trySpend(b), "a retry may arrive up to a tenth of the window after it was spent")
		time.Sleep(time.Second)
		require.True(t, trySpend(b), "the window has passed")
	})
}

// A lent retry counts at the lender whether or not it is used, and must be used in time
// or not at all.
func TestLentRetryExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := BudgetConfig{Slack: 16, Window: 10 * time.Second, Share: oneSixteenth}
		lender, borrower := NewBudget(cfg), NewBudget(cfg)
		require.True(t, trySpend(borrower))
		require.False(t, hasRetry(borrower))
		require.True(t, lender.Lend())
		require.False(t, hasRetry(lender), "the lender had only one")
		borrower.AddBorrowed(uptime.Now())
		require.True(t, hasRetry(borrower))
		time.Sleep(400 * time.Millisecond)
		spent, ok := borrower.Spend()
		require.True(t, ok)
		require.Equal(t, 400*time.Millisecond, uptime.Since(spent.At), "it counts from when it was lent")
		require.False(t, hasRetry(borrower), "it can be spent only once")
		borrower.AddBorrowed(uptime.Now())
		time.Sleep(borrower.SendWithin())
		require.False(t, trySpend(borrower), "it might arrive after it no longer counts")
	})
}

// A retry that did not arrive is refunded to the node that it came from.
func TestUndeliveredRetryIsRefunded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(BudgetConfig{Slack: 16, Window: 10 * time.Second, Share: oneSixteenth})
		own, ok := b.Spend()
		require.True(t, ok)
		require.False(t, hasRetry(b))
		time.Sleep(5 * time.Second)
		b.Refund(own)
		require.True(t, hasRetry(b))
		require.True(t, trySpend(b))
		b.AddBorrowed(uptime.Now())
		lent, ok := b.Spend()
		require.True(t, ok)
		b.Refund(lent)
		require.True(t, trySpend(b), "the borrowed retry was refunded")
		require.False(t, trySpend(b), "and only once")
	})
}
