package ratelimit

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quota"
)

const testSpan = 11 * time.Second

// modelConfig describes a simulated site under load.
type modelConfig struct {
	nodes   int
	targets int
	rate    float64 // limit of each target, requests per second
	demand  float64 // requests per second of the whole site
	active  int     // nodes that get requests; 0 for all
	moving  bool    // the active nodes change every 5 s
	faults  bool
	changes bool          // limits change at random
	loss    float64       // probability that a message between nodes is lost
	maxWait time.Duration // of a request
	shares  shareMode
}

// shareMode says whether the nodes get shares.
type shareMode int

const (
	withShares    shareMode = iota
	withoutShares           // as under a leader of an older build
)

// model is a site in virtual time: nodes with limiters, the control group that assigns
// their shares, and targets that count what arrives.
type model struct {
	modelConfig
	rng       *rand.Rand
	set       quota.Set
	version   uint64 // of the set
	leaders   []*quota.Register
	leader    int
	sites     []*modelNode
	byAddress map[string]*modelNode
	services  []*modelTarget
	denied    int
	sent      int
	waited    time.Duration
	bytes     int // sent between nodes
}

// modelNode is one address and the process that runs there.
type modelNode struct {
	address   string
	life      uint64
	limiter   *Limiter
	holder    *quota.Holder
	ownership *quota.Ownership
	up        bool
	cutUntil  time.Time
	askedAt   time.Time
	told      map[string]time.Time // first response with a limit in this life, by target
}

// modelTarget publishes a limit and records what arrives.
type modelTarget struct {
	name     string
	rate     float64
	lifted   bool
	changed  []rateChange
	arrivals []modelArrival
	firstAt  time.Time // of the first published limit
}

type rateChange struct {
	at   time.Time
	rate float64
}

type modelArrival struct {
	at      time.Time
	counted bool // from a node that had forwarded the limit
	probe   bool // of an unconfirmed limit
}

func newModelSite(seed uint64, c modelConfig) *model {
	m := &model{modelConfig: c, rng: rand.New(rand.NewPCG(seed, 2)), byAddress: map[string]*modelNode{}}
	for range 3 {
		m.leaders = append(m.leaders, quota.NewRegister(testSpan))
	}
	m.leaders[0].BecomeLeader()
	for i := range c.nodes {
		m.sites = append(m.sites, &modelNode{address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)})
		m.byAddress[m.sites[i].address] = m.sites[i]
		m.start(m.sites[i])
	}
	for i := range c.targets {
		t := &modelTarget{name: fmt.Sprintf("t%d@1", i)}
		t.setRate(c.rate)
		m.services = append(m.services, t)
	}
	for range 4 { // all nodes join, and the set is opened
		m.askGroup(true)
		time.Sleep(time.Second)
	}
	return m
}

// start starts a new process at a node.
func (m *model) start(n *modelNode) {
	n.life, n.up, n.told = m.rng.Uint64()|1, true, map[string]time.Time{}
	n.holder = quota.NewHolder(testSpan)
	n.ownership = quota.NewOwnership(n.holder, n.address, Span)
	n.limiter = New(WithOwnership(n.ownership), WithSeed(m.rng.Uint64()), WithNetwork(modelNetwork{m, n}))
}

// askGroup lets each node that reaches the group renew its share about once a second.
func (m *model) askGroup(open bool) {
	now := uptime.Now()
	r := m.leaders[m.leader]
	for _, n := range m.sites {
		if !n.up || now.Before(n.cutUntil) || now.Sub(n.askedAt) < time.Second {
			continue
		}
		n.askedAt = now
		r.RecordRequest(quota.Node{Address: n.address, Incarnation: n.life})
	}
	next, in, out := r.Next(m.set)
	next.Open = next.Open || open
	if len(in)+len(out) > 0 || next.Open != m.set.Open {
		m.set = next
		m.version++
		r.Committed(next)
	}
	members := quota.NewMembers(m.version, slices.Collect(maps.Keys(m.set.Lives)))
	for _, n := range m.sites {
		if n.askedAt != now {
			continue
		}
		a := r.Assignment(m.set, quota.Node{Address: n.address, Incarnation: n.life})
		a.Members = m.version
		if a.Nodes > 0 && m.shares == withShares {
			n.ownership.SetMembers(members)
			n.holder.Apply(a, now)
		}
	}
}

// modelNetwork carries one node's messages.
type modelNetwork struct {
	model *model
	from  *modelNode
}

// delay returns the one-way delay of a message; most take about a millisecond.
func (m *model) delay() time.Duration {
	if m.faults && m.rng.IntN(50) == 0 {
		return time.Duration(m.rng.Int64N(int64(200 * time.Millisecond)))
	}
	return time.Duration(m.rng.Int64N(int64(2 * time.Millisecond)))
}

// passes reports whether a message gets through.
func (m *model) passes(from, to *modelNode) bool {
	now := uptime.Now()
	return from.up && to.up && !now.Before(from.cutUntil) && !now.Before(to.cutUntil) && m.rng.Float64() >= m.loss
}

const modelAskTimeout = 30 * time.Millisecond

// Upper limits of the sizes of messages in bytes, with headers but for changes; see
// loadshare.
const (
	headerBytes = 28 // of IP and UDP
	askBytes    = headerBytes + 100
	replyBytes  = headerBytes + 80
	changeBytes = 70
)

// Ask implements Network.
func (w modelNetwork) Ask(ctx context.Context, node string, a Ask) (Reply, bool) {
	m, to := w.model, w.model.byAddress[node]
	m.bytes += askBytes
	if to == nil || !m.passes(w.from, to) {
		time.Sleep(modelAskTimeout)
		return Reply{}, false
	}
	there := m.delay()
	time.Sleep(min(there, modelAskTimeout))
	if there >= modelAskTimeout {
		time.AfterFunc(there-modelAskTimeout, func() { to.limiter.HandleAsk(a) })
		return Reply{}, false
	}
	limiter := to.limiter
	reply := limiter.HandleAsk(a)
	if m.faults && m.rng.IntN(30) == 0 {
		limiter.HandleAsk(a) // the message was duplicated
	}
	m.bytes += replyBytes
	back := m.delay()
	if there+back >= modelAskTimeout || !m.passes(to, w.from) {
		time.Sleep(modelAskTimeout - there)
		return Reply{}, false
	}
	time.Sleep(back)
	return reply, true
}

// Nodes implements Network.
func (w modelNetwork) Nodes() int { return w.model.nodes }

// Gossip implements Network.
func (w modelNetwork) Gossip(n int, changes []Change) {
	m := w.model
	m.bytes += n * (headerBytes + len(changes)*changeBytes)
	for _, i := range m.rng.Perm(m.nodes)[:min(n, m.nodes)] {
		to := m.sites[i]
		if to == w.from || !m.passes(w.from, to) {
			continue
		}
		time.AfterFunc(m.delay(), func() {
			for _, c := range changes {
				to.limiter.HandleChange(c)
			}
		})
	}
}

// maxDenials bounds the targets that deny one request, as in the gateway.
const maxDenials = 2

// request handles one client request at a node: it takes the first target that grants a
// permit.
func (m *model) request(n *modelNode) {
	limiter := n.limiter
	for _, wait := range []time.Duration{0, m.maxWait} {
		targets := m.order(limiter, wait)
		for _, t := range targets[:min(len(targets), maxDenials)] {
			p, denied := limiter.Acquire(context.Background(), Request{Target: t.name, MaxWait: wait})
			if denied != nil {
				continue
			}
			m.waited = max(m.waited, p.Wait(uptime.Now()))
			time.Sleep(p.Wait(uptime.Now()))
			probe := p.probe
			if !limiter.Use(t.name, &p) {
				continue
			}
			m.sent++
			m.arrive(n, limiter, t, probe)
			return
		}
	}
	m.denied++
}

// order returns the targets that may grant a permit, those with one in hand first.
func (m *model) order(l *Limiter, wait time.Duration) (targets []*modelTarget) {
	var later []*modelTarget
	for _, i := range m.rng.Perm(len(m.services)) {
		t := m.services[i]
		switch l.Check(Request{Target: t.name, MaxWait: wait}) {
		case InHand:
			targets = append(targets, t)
		case Obtainable:
			later = append(later, t)
		}
	}
	return append(targets, later...)
}

// arrive delivers a request to a target, and its response to the node.
func (m *model) arrive(n *modelNode, limiter *Limiter, t *modelTarget, probe bool) {
	time.Sleep(m.delay())
	now := uptime.Now()
	told := n.told[t.name]
	t.arrivals = append(t.arrivals, modelArrival{at: now, counted: !told.IsZero() && now.Sub(told) > 500*time.Millisecond, probe: probe})
	if t.firstAt.IsZero() && !t.lifted {
		t.firstAt = now
	}
	if m.faults && m.rng.IntN(20) == 0 {
		return // the response is lost
	}
	signal := Signal{Published: !t.lifted, PerSecond: t.rate}
	time.AfterFunc(time.Duration(m.rng.Int64N(int64(60*time.Millisecond))), func() {
		limiter.Observe(t.name, signal)
		if n.limiter == limiter && n.told[t.name].IsZero() && signal.Published {
			n.told[t.name] = uptime.Now()
		}
	})
}

// maxCut is the longest time for which a node is cut off from the others: long enough to
// be removed from the set.
const maxCut = 100 * time.Second

// injectFault kills, restarts or cuts off a node, or changes the leader.
func (m *model) injectFault() {
	n := m.sites[m.rng.IntN(len(m.sites))]
	switch m.rng.IntN(5) {
	case 0, 1:
		m.start(n)
	case 2:
		n.up = false
		time.AfterFunc(time.Duration(m.rng.Int64N(int64(60*time.Second))), func() { m.start(n) })
	case 3:
		n.cutUntil = uptime.Now().Add(time.Duration(m.rng.Int64N(int64(maxCut))))
	case 4:
		m.leader = m.rng.IntN(len(m.leaders))
		m.leaders[m.leader].BecomeLeader()
	}
}

// setRate publishes another limit.
func (t *modelTarget) setRate(rate float64) {
	t.rate = rate
	t.changed = append(t.changed, rateChange{at: uptime.Now(), rate: rate})
}

// run applies the load for a time.
func (m *model) run(d time.Duration) {
	const step = 100 * time.Millisecond
	carry := 0.0
	for end := uptime.Now().Add(d); uptime.Now().Before(end); time.Sleep(step) {
		m.askGroup(true)
		if m.faults && m.rng.IntN(20) == 0 {
			m.injectFault()
		}
		if m.changes && m.rng.IntN(60) == 0 {
			m.services[m.rng.IntN(len(m.services))].setRate(m.rate * (0.2 + 2*m.rng.Float64()))
		}
		for carry += m.demand * step.Seconds(); carry >= 1; carry-- {
			if n := m.pick(); n.up {
				time.AfterFunc(time.Duration(m.rng.Int64N(int64(step))), func() { m.request(n) })
			}
		}
	}
	time.Sleep(3 * time.Second)
}

// pick returns the node that gets the next request.
func (m *model) pick() *modelNode {
	if m.active == 0 {
		return m.sites[m.rng.IntN(len(m.sites))]
	}
	first := 0
	if m.moving {
		first = int(uptime.Now().Unix()/5) * m.active
	}
	return m.sites[(first+m.rng.IntN(m.active))%len(m.sites)]
}

// highest returns the highest limit in force in the window that ends at a time, or shortly
// before.
func (t *modelTarget) highest(end time.Time, window time.Duration) (rate float64) {
	const learned = 2 * time.Second
	for i, c := range t.changed {
		if i+1 < len(t.changed) && t.changed[i+1].at.Before(end.Add(-window-learned)) || c.at.After(end) {
			continue
		}
		rate = max(rate, c.rate)
	}
	return rate
}

// longWindow is a window in which a slot that two nodes use shows, as bursts do not.
const longWindow = 30 * time.Second

// excess returns the largest number of counted requests beyond what a window allows; 0 if
// none has too many: 1.5 times the limit and 5 requests in 4 s, and, without probes, the
// limit with one burst of all slots in a long window.
func (t *modelTarget) excess() float64 {
	short := t.excessIn(4*time.Second, true, func(rate float64) float64 { return 1.5*4*rate + 5 })
	late := useWithin + transitTime
	long := t.excessIn(longWindow, false, func(rate float64) float64 {
		return Slots + max(rate, minRate)*(burstTime+longWindow+late).Seconds()
	})
	return max(short, long)
}

// excessIn returns the largest number of counted requests beyond what a window allows,
// given the highest limit in it.
func (t *modelTarget) excessIn(window time.Duration, probes bool, allowed func(rate float64) float64) (most float64) {
	var counted []time.Time
	for _, a := range t.arrivals {
		if !a.counted || a.probe && !probes || a.at.Sub(t.firstAt) < 3*time.Second {
			continue
		}
		counted = append(counted, a.at)
		for a.at.Sub(counted[0]) > window {
			counted = counted[1:]
		}
		most = max(most, float64(len(counted))-allowed(t.highest(a.at, window)))
	}
	return most
}

// used returns the number of requests from one time to another, as a share of the limit.
func (t *modelTarget) used(from, to time.Time) float64 {
	n := 0
	for _, a := range t.arrivals {
		if a.at.After(from) && !a.at.After(to) {
			n++
		}
	}
	return float64(n) / (t.rate * to.Sub(from).Seconds())
}
