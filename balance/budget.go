package balance

import (
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Count is how many requests and repeats there were within a window.
type Count struct {
	Requests int `msgpack:"r"`
	Repeats  int `msgpack:"p"`
}

// BudgetConfig is a site's bound on repeats: within any window, over all
// nodes, no more than Ratio times the requests and Slack.
type BudgetConfig struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	Nodes  int // that are held to share the bound where nothing is heard of them
}

// Parts of the bound that are used.
const (
	// ratioUsed and slackUsed leave room for what other nodes have spent and
	// not told yet.
	ratioUsed = 0.8
	slackUsed = 0.5
	buckets   = 10
)

// Budget bounds the repeats to one service over all nodes without asking any
// of them: nodes tell each other their counts. A node that hears of no other
// keeps to its own share of the bound.
type Budget struct {
	cfg BudgetConfig

	began  time.Time // from which on buckets are numbered
	mu     sync.Mutex
	own    [buckets]Count
	newest int64 // number of the newest bucket
	others map[string]toldCount
}

type toldCount struct {
	count Count
	at    time.Time
}

// NewBudget returns a budget of which nothing is spent.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, began: uptime.Now(), others: map[string]toldCount{}}
}

// Earn counts a client's request in.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(uptime.Now()).Requests++
}

// Spend takes one repeat; false if there is none left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := uptime.Now()
	current := b.bucket(now)
	own := b.total()
	if !b.inOwnShare(own) && !b.inSiteBound(own, now) {
		return false
	}
	current.Repeats++
	return true
}

// setNodes says how many nodes share the bound. A lower count than before is
// not taken: nodes that are not heard may spend all the same.
func (b *Budget) setNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Nodes = max(b.cfg.Nodes, n)
}

// inOwnShare reports whether a repeat is within this node's share. The caller
// holds the mutex, as for the methods below.
func (b *Budget) inOwnShare(own Count) bool {
	share := b.cfg.Slack * slackUsed / float64(max(1, b.cfg.Nodes))
	return float64(own.Repeats) < ratioUsed*b.cfg.Ratio*float64(own.Requests)+share
}

// inSiteBound reports whether a repeat is within the bound of all nodes, as
// far as they told.
func (b *Budget) inSiteBound(own Count, now time.Time) bool {
	site, heard := b.site(own, now)
	return heard > 0 && float64(site.Repeats) < ratioUsed*b.cfg.Ratio*float64(site.Requests)+slackUsed*b.cfg.Slack
}

// Site returns what this node and the others told within the window, and how
// many others were heard lately.
func (b *Budget) Site() (total Count, heard int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := uptime.Now()
	b.bucket(now)
	return b.site(b.total(), now)
}

// site adds what others told to the own count. The caller holds the mutex.
func (b *Budget) site(own Count, now time.Time) (total Count, heard int) {
	total = own
	for node, o := range b.others {
		if now.Sub(o.at) > sharedLife {
			delete(b.others, node)
			continue
		}
		heard++
		total.Requests += o.count.Requests
		total.Repeats += o.count.Repeats
	}
	return total, heard
}

// bucket returns the bucket of a time, and clears those that are too old. The
// time of day may be set, which must not clear any.
func (b *Budget) bucket(now time.Time) *Count {
	number := int64(now.Sub(b.began) / (b.cfg.Window / buckets))
	for n := max(b.newest+1, number-buckets+1); n <= number; n++ {
		b.own[n%buckets] = Count{}
	}
	b.newest = max(b.newest, number)
	return &b.own[b.newest%buckets]
}

// total sums the buckets up.
func (b *Budget) total() Count {
	var sum Count
	for _, c := range b.own {
		sum.Requests += c.Requests
		sum.Repeats += c.Repeats
	}
	return sum
}

// Count returns this node's own count within the window.
func (b *Budget) Count() Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(uptime.Now())
	return b.total()
}

// SetOther takes another node's count.
func (b *Budget) SetOther(node string, c Count) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others[node] = toldCount{count: c, at: uptime.Now()}
}

// Budgets are the budgets of a site's services.
type Budgets struct {
	cfg BudgetConfig

	mu     sync.Mutex
	byName map[string]*Budget
}

// NewBudgets returns budgets under one bound each.
func NewBudgets(cfg BudgetConfig) *Budgets {
	return &Budgets{cfg: cfg, byName: map[string]*Budget{}}
}

// Of returns a service's budget.
func (b *Budgets) Of(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byName[service]
	if budget == nil {
		budget = NewBudget(b.cfg)
		b.byName[service] = budget
	}
	return budget
}

// SetNodes says how many nodes are there to share each bound.
func (b *Budgets) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Nodes = max(b.cfg.Nodes, n)
	for _, budget := range b.byName {
		budget.setNodes(n)
	}
}

// Counts returns this node's counts by service, as far as there is any.
func (b *Budgets) Counts() map[string]Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]Count{}
	for service, budget := range b.byName {
		if c := budget.Count(); c != (Count{}) {
			counts[service] = c
		}
	}
	return counts
}

// SetOther takes another node's counts.
func (b *Budgets) SetOther(node string, counts map[string]Count) {
	for service, c := range counts {
		b.Of(service).SetOther(node, c)
	}
}
