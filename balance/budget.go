package balance

import (
	"slices"
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
	// Part returns the share of Slack, from 0 to 1, that this node may have used
	// within the last TakenWithin; nil for all of it, where the node is the only one.
	Part func() float64
}

// TakenWithin is the time within which repeats were taken that arrive within one window.
func (c *BudgetConfig) TakenWithin() time.Duration {
	return c.Window * (slotsInWindow + transitSlots) / slotsInWindow
}

// transit is how long after it was taken a repeat counts as on its way.
func (c *BudgetConfig) transit() time.Duration { return c.Window * transitSlots / slotsInWindow }

// Budget bounds the repeats to one service over all nodes, by what this node alone
// knows: a repeat is within the node's own requests, or within its part of the slack.
// Nodes that went by each other's counts passed the bound by up to half, since counts
// are late, and forgotten with the node that told them.
type Budget struct {
	cfg BudgetConfig

	mu     sync.Mutex
	own    history
	lent   []time.Time          // repeats of other nodes that may be taken here: from when on they count there
	others map[string]toldCount // for operators to see; nothing is decided by them
}

type toldCount struct {
	count Count
	at    time.Time
}

// NewBudget returns a budget of which nothing is spent.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Part == nil {
		cfg.Part = func() float64 { return 1 }
	}
	return &Budget{cfg: cfg, own: newHistory(cfg.Window), others: map[string]toldCount{}}
}

// Earn counts a client's request in.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.own.add(uptime.Now(), Count{Requests: 1})
}

// Repeat is one repeat that was taken. The zero value is none.
type Repeat struct {
	At   time.Time // from when on it counts as on its way
	lent bool
}

// Taken reports whether it was taken at all.
func (r Repeat) Taken() bool { return !r.At.IsZero() }

// Spend takes one repeat, of this node's or one that another lent; false if there is none
// left.
func (b *Budget) Spend() (taken Repeat, ok bool) {
	slack := b.cfg.Slack * b.cfg.Part()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := uptime.Now()
	if b.takeOwn(now, slack) {
		return Repeat{At: now}, true
	}
	b.dropLate(now)
	if len(b.lent) == 0 {
		return Repeat{}, false
	}
	taken = Repeat{At: b.lent[0], lent: true}
	b.lent = b.lent[1:]
	return taken, true
}

// Refund gives a repeat back that did not arrive and will not.
func (b *Budget) Refund(r Repeat) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.lent {
		b.lent = append(b.lent, r.At)
		return
	}
	b.own.takeBack(uptime.Now(), r.At)
}

// Lend takes one repeat of this node's for another one; false if there is none left. It
// counts here, whether the other uses it or not.
func (b *Budget) Lend() bool {
	slack := b.cfg.Slack * b.cfg.Part()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.takeOwn(uptime.Now(), slack)
}

// Borrowed takes in a repeat that another node lent after it was asked at a time.
func (b *Budget) Borrowed(asked time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lent = append(b.lent, asked)
}

// takeOwn takes one of this node's repeats. The caller holds the mutex, as for dropLate.
func (b *Budget) takeOwn(now time.Time, slack float64) bool {
	if !b.own.allows(now, b.cfg.Ratio, slack) {
		return false
	}
	b.own.add(now, Count{Repeats: 1})
	return true
}

// dropLate drops what was lent too long ago to be sent in time.
func (b *Budget) dropLate(now time.Time) {
	b.lent = slices.DeleteFunc(b.lent, func(taken time.Time) bool { return now.Sub(taken) >= b.SendWithin() })
}

// Part returns the share of the slack that this node may use now.
func (b *Budget) Part() float64 { return b.cfg.Part() }

// SendWithin is how long after it was taken a repeat may be sent: half of the time for
// which it counts as on its way, so that the way to the target may take the other half.
func (b *Budget) SendWithin() time.Duration { return b.cfg.transit() / 2 }

// Site returns what this node and the others told within the window, and how
// many others were heard lately.
func (b *Budget) Site() (total Count, heard int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := uptime.Now()
	total = b.own.within(now)
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

// Count returns this node's own count within the window.
func (b *Budget) Count() Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own.within(uptime.Now())
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
