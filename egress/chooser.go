package egress

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

const (
	// offerTTL is how long an offer is used.
	offerTTL = time.Second
	// offerRefresh is the age from which offers are renewed while they are used.
	offerRefresh = 300 * time.Millisecond
	// avoidTime is how long a node that could not send a request is not chosen.
	avoidTime = time.Second
	// farCost is the cost of a node in another data hall, in requests that it serves.
	farCost = 2
)

// Chooser chooses the nodes through which requests are sent. Its methods are safe for
// concurrent use.
type Chooser struct {
	finder Finder

	mu       sync.Mutex
	services map[string]*offers
	inFlight map[string]int       // requests of this node, by egress
	avoided  map[string]time.Time // until when, by node
}

// offers are the offers for one service.
type offers struct {
	list    []Offer
	askedAt time.Time
	asking  chan struct{} // closed when the current question is answered; nil without one
}

// NewChooser returns a chooser.
func NewChooser(f Finder) *Chooser {
	return &Chooser{finder: f, services: map[string]*offers{}, inFlight: map[string]int{}, avoided: map[string]time.Time{}}
}

// Need is what a node must offer.
type Need struct {
	Service       string
	Exclude       []string // nodes
	KeepsVersions bool     // see Offer
}

// Choose returns the node through which to send a request that needs n;
// false if no node offers that. It asks other nodes unless their offers are recent. Release
// must be called when the request has ended.
func (c *Chooser) Choose(ctx context.Context, n Need) (node string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.services[n.Service]
	if o == nil {
		o = &offers{}
		c.services[n.Service] = o
	}
	age := uptime.Since(o.askedAt)
	if age >= offerRefresh && o.asking == nil {
		c.ask(n.Service, o)
	}
	if age >= offerTTL {
		c.awaitAnswer(ctx, o)
	}
	best := c.best(o.list, n)
	if best == "" && o.asking != nil {
		c.awaitAnswer(ctx, o)
		best = c.best(o.list, n)
	}
	if best == "" {
		return "", false
	}
	c.inFlight[best]++
	return best, true
}

// ask renews the offers for a service. The caller holds the mutex.
func (c *Chooser) ask(service string, o *offers) {
	asking := make(chan struct{})
	o.asking = asking
	go func() {
		list := c.finder.FindEgress(context.Background(), service)
		c.mu.Lock()
		defer c.mu.Unlock()
		o.list, o.askedAt, o.asking = list, uptime.Now(), nil
		close(asking)
	}()
}

// awaitAnswer waits until the offers are renewed. The caller holds the mutex, which is
// released meanwhile.
func (c *Chooser) awaitAnswer(ctx context.Context, o *offers) {
	asking := o.asking
	if asking == nil {
		return
	}
	c.mu.Unlock()
	defer c.mu.Lock()
	select {
	case <-asking:
	case <-ctx.Done():
	}
}

// best returns the less loaded of two random nodes, so that nodes in need do not all choose
// the same one; empty if there is none. The caller holds the mutex.
func (c *Chooser) best(list []Offer, n Need) string {
	now := uptime.Now()
	usable := slices.DeleteFunc(slices.Clone(list), func(o Offer) bool {
		return slices.Contains(n.Exclude, o.Node) || n.KeepsVersions && !o.KeepsVersions || now.Before(c.avoided[o.Node])
	})
	if len(usable) == 0 {
		return ""
	}
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	pair := usable[:min(2, len(usable))]
	return slices.MinFunc(pair, func(a, b Offer) int { return c.cost(a) - c.cost(b) }).Node
}

// cost returns the cost of a node, in requests. The caller holds the mutex.
func (c *Chooser) cost(o Offer) int {
	cost := o.Load + c.inFlight[o.Node]
	if !o.Near {
		cost += farCost
	}
	return cost
}

// Release says that a request through a node has ended.
func (c *Chooser) Release(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[node]--; c.inFlight[node] <= 0 {
		delete(c.inFlight, node)
	}
}

// Avoid says that a node could not be reached or had no path to targets.
func (c *Chooser) Avoid(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := uptime.Now()
	for n, until := range c.avoided {
		if !now.Before(until) {
			delete(c.avoided, n)
		}
	}
	c.avoided[node] = now.Add(avoidTime)
}
