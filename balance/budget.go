package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Count is the number of requests and retries within a window.
type Count struct {
	Requests int `msgpack:"r"`
	Retries  int `msgpack:"p"`
}

// BudgetConfig is a site's retry limit: within any window, all nodes together send at
// most Ratio times the requests plus Slack.
type BudgetConfig struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Share returns the share of Slack, from 0 to 1, that this node may have used within
	// the last SpendPeriod; nil for all of it, on a single node.
	Share func() float64
}

// SpendPeriod is the period in which retries that arrive within one window were spent.
func (c *BudgetConfig) SpendPeriod() time.Duration {
	return c.Window * (slotsInWindow + transitSlots) / slotsInWindow
}

// transit is how long a spent retry counts as in flight.
func (c *BudgetConfig) transit() time.Duration { return c.Window * transitSlots / slotsInWindow }

// Budget limits the retries to one service over all nodes using local state only: a
// retry is covered by this node's own requests or by its share of the slack. Counts
// exchanged between nodes do not enter: counts are late, and forgotten with the node that
// sent them, so the site would exceed its limit by up to half.
type Budget struct {
	cfg BudgetConfig

	mu       sync.Mutex
	own      history
	borrowed []time.Time          // by the time from which the lender counts them
	peers    map[string]peerCount // for the operator's status only; not used for decisions
}

type peerCount struct {
	count Count
	at    time.Time
}

// NewBudget returns an unspent budget.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Share == nil {
		cfg.Share = func() float64 { return 1 }
	}
	return &Budget{cfg: cfg, own: newHistory(cfg.Window), peers: map[string]peerCount{}}
}

// Earn counts a client's request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.own.add(uptime.Now(), Count{Requests: 1})
}

// Retry is one retry spent from a Budget. The zero value is none.
type Retry struct {
	At       time.Time // from when it counts as in flight
	borrowed bool
}

// Spent reports whether a retry was spent.
func (r Retry) Spent() bool { return !r.At.IsZero() }

// Spend spends one retry, this node's own or a borrowed one; ok is false if none is
// left.
func (b *Budget) Spend() (spent Retry, ok bool) {
	slack := b.cfg.Slack * b.cfg.Share()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := uptime.Now()
	if b.spendOwn(now, slack) {
		return Retry{At: now}, true
	}
	b.dropExpired(now)
	if len(b.borrowed) == 0 {
		return Retry{}, false
	}
	spent = Retry{At: b.borrowed[0], borrowed: true}
	b.borrowed = b.borrowed[1:]
	return spent, true
}

// Refund returns a retry that did not and will not reach its target.
func (b *Budget) Refund(r Retry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.borrowed {
		b.borrowed = append(b.borrowed, r.At)
		return
	}
	b.own.remove(uptime.Now(), r.At)
}

// Lend spends one of this node's retries on behalf of a peer; false if none is left. It
// counts here whether or not the peer uses it.
func (b *Budget) Lend() bool {
	slack := b.cfg.Slack * b.cfg.Share()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spendOwn(uptime.Now(), slack)
}

// AddBorrowed adds a retry that a peer lent in answer to a request sent at asked.
func (b *Budget) AddBorrowed(asked time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.borrowed = append(b.borrowed, asked)
}

// spendOwn spends one of this node's retries. The caller holds the mutex.
func (b *Budget) spendOwn(now time.Time, slack float64) bool {
	if !b.own.allows(now, b.cfg.Ratio, slack) {
		return false
	}
	b.own.add(now, Count{Retries: 1})
	return true
}

// dropExpired drops borrowed retries that can no longer be sent in time. The caller holds
// the mutex.
func (b *Budget) dropExpired(now time.Time) {
	b.borrowed = slices.DeleteFunc(b.borrowed, func(spentAt time.Time) bool { return now.Sub(spentAt) >= b.SendWithin() })
}

// Share returns the share of the slack that this node may use now.
func (b *Budget) Share() float64 { return b.cfg.Share() }

// SendWithin is how long after it was spent a retry may be sent: half of the time for
// which it counts as in flight, which leaves the other half for transmission.
func (b *Budget) SendWithin() time.Duration { return b.cfg.transit() / 2 }

// SiteCount returns the counts of this node and its peers within the window, and the number
// of peers that reported recently.
func (b *Budget) SiteCount() (total Count, peers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := uptime.Now()
	total = b.own.window(now)
	for node, o := range b.peers {
		if now.Sub(o.at) > peerReportTTL {
			delete(b.peers, node)
			continue
		}
		peers++
		total.Requests += o.count.Requests
		total.Retries += o.count.Retries
	}
	return total, peers
}

// Count returns this node's own count within the window.
func (b *Budget) Count() Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own.window(uptime.Now())
}

// SetPeerCount records a peer's count.
func (b *Budget) SetPeerCount(node string, c Count) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[node] = peerCount{count: c, at: uptime.Now()}
}

// Budgets holds the budgets of a site's services.
type Budgets struct {
	cfg BudgetConfig

	mu     sync.Mutex
	byName map[string]*Budget
}

// NewBudgets returns budgets that each have the limit cfg.
func NewBudgets(cfg BudgetConfig) *Budgets {
	return &Budgets{cfg: cfg, byName: map[string]*Budget{}}
}

// Of returns the budget of a service.
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

// Counts returns this node's nonzero counts by service.
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

// SetPeerCounts records a peer's counts.
func (b *Budgets) SetPeerCounts(node string, counts map[string]Count) {
	for service, c := range counts {
		b.Of(service).SetPeerCount(node, c)
	}
}
