package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/groupclock"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/metering"
	"github.com/walnutramp/walnutramp/quota"
	"github.com/walnutramp/walnutramp/rollout"
	"k8s.io/klog/v2"
)

// Peers calls other nodes, and this one where it is a member itself.
type Peers interface {
	// Call runs a method of a node's service and fills reply.
	Call(ctx context.Context, node walnutramp.NodeName, method string, args, reply any) error
}

// Times of a node's dealings with the control group.
const (
	renewWait   = 1 * time.Second // how long the leader may wait for news
	renewLimit  = 2500 * time.Millisecond
	renewPause  = 100 * time.Millisecond
	firstWait   = 300 * time.Millisecond // while the node holds nothing, and nobody else does
	firstPause  = 30 * time.Millisecond  // while the node holds nothing
	answerLimit = 600 * time.Millisecond // beyond the leader's wait, where members change
	commandTime = 3 * time.Second        // until a command is given up
	tryTime     = 1 * time.Second        // of one call of a command
	tryPause    = 50 * time.Millisecond
	offerRate   = 1 << 20 // bytes a second at which a document is at least taken and agreed on: a link of 100 Mbit/s to seven followers gives 1.7 MB/s

	// LeaseTime is how long a node may take new work after it asked for the
	// word that its bundle is the newest.
	LeaseTime = 3 * time.Second
)

// Client is a node's way to the control group. It keeps the newest bundle
// with its lease, and implements caller.Ledger.
type Client struct {
	peers       Peers
	adopt       AdoptFunc
	entry       EntryPlace   // this node among the entries; without an address if it is none
	seen        SeenFunc     // is told the entries
	entries     []EntryPlace // as last told
	entriesHeld uint64       // their version
	fed         FedFunc      // is told the leader's list of targets
	held        uint64       // version of that list
	fast        bool         // nodes of the group come and go, so silence is given up on early
	whole       bool         // the change to the newest document did not fit: the whole is asked for
	contact     contact
	agent       *rollout.Agent       // of roll-outs; nil for none
	clock       *groupclock.Follower // of the group's time; nil for none
	usage       *metering.Counter    // of requests; nil for none
	demand      DemandSource         // of services; nil for none
	quota       *quota.Holder        // of this node's part of the bound on repeats; nil for none
	life        uint64               // names this process

	mu     sync.Mutex
	seeds  []walnutramp.NodeName // always asked, whoever the members are
	group  []walnutramp.NodeName // as last heard
	leader walnutramp.NodeName   // last known, or empty
	missed walnutramp.NodeName   // who was asked in vain last
	doc    []byte
	have   uint64
	until  time.Time           // end of the lease
	near   walnutramp.NodeName // member that takes this node's reports; empty for any

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// AdoptFunc puts a document in force that is newer than all before it.
type AdoptFunc func(version uint64, doc []byte) error

// NewClient returns a client of a group of fixed members; inForce is told of
// every bundle that comes into force.
func NewClient(peers Peers, members []walnutramp.NodeName, inForce func(*bundle.Bundle)) *Client {
	return newClient(peers, members, func(_ uint64, doc []byte) error {
		b, err := bundle.Decode(doc)
		if err == nil {
			inForce(b)
		}
		return err
	})
}

// NewDocumentClient returns a client of a group whose members change, on a
// site whose documents are not bundles. It learns the members from the seeds.
func NewDocumentClient(peers Peers, seeds []walnutramp.NodeName, adopt AdoptFunc) *Client {
	c := newClient(peers, seeds, adopt)
	c.fast = true
	return c
}

func newClient(peers Peers, seeds []walnutramp.NodeName, adopt AdoptFunc) *Client {
	c := &Client{peers: peers, seeds: seeds, adopt: adopt, life: rand.Uint64() | 1}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// SetSeeds replaces the nodes that are always asked.
func (c *Client) SetSeeds(seeds []walnutramp.NodeName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// Start begins renewing the lease; Close ends it.
func (c *Client) Start() {
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		c.renewAlways()
	}()
	if c.agent != nil {
		c.tasks.Go(c.reportAlways)
	}
	if c.tells() {
		c.tasks.Go(c.tellAlways)
	}
}

// Close ends renewing and every side job.
func (c *Client) Close() {
	c.cancel()
	c.tasks.Wait()
}

// InForce reports whether the node holds the lease: it may take new work.
func (c *Client) InForce() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uptime.Now().Before(c.until)
}

// Version returns the version in force here; 0 before the first.
func (c *Client) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.have
}

func (c *Client) renewAlways() {
	for c.ctx.Err() == nil {
		if !c.renew() {
			pause.For(c.ctx, c.renewPause())
		}
	}
}

func (c *Client) renewPause() time.Duration {
	if c.fast && c.Version() == 0 {
		return firstPause
	}
	return renewPause
}

// renew asks the leader once. The lease counts from before the question, so
// the time that the leader waits for news shortens it.
func (c *Client) renew() bool {
	wait, limit := renewWait, renewLimit
	if !c.InForce() {
		wait = 0
	}
	if c.fast && c.Version() == 0 {
		wait = firstWait
	}
	if c.fast {
		limit = wait + answerLimit
	}
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	asked := uptime.Now()
	var reply NewestReply
	args := c.question(wait)
	node := c.target()
	if err := c.peers.Call(ctx, node, Service+".Newest", args, &reply); err != nil {
		c.contact.failed(node, args.Have, asked, err)
		c.forgetLeader("")
		return false
	}
	c.LearnGroup(reply.Group)
	c.takeTime(reply.Time, asked)
	c.takeEntries(&reply)
	if reply.Code != walnutramp.CodeOK {
		c.contact.failed(node, args.Have, asked, errors.Newf("answered with %v", reply.Code))
		c.forgetLeader(reply.Leader)
		return false
	}
	c.contact.heard(node, reply.Version)
	c.takeNear(reply.Near)
	c.takeShare(reply.Share, asked)
	c.takeVersions(reply.Versions)
	if err := reply.Roster.readWhole(c.ctx, c.peers, node, reply.Source); err != nil {
		klog.ErrorS(err, "List of targets not read", "asked", node)
	} else {
		c.takeRoster(reply.Roster)
	}
	taken := c.take(node, args.Have, &reply, asked.Add(-reply.Age))
	if reply.Unconfirmed {
		c.forgetLeader(reply.Leader)
		return false
	}
	if reply.Relay != "" {
		c.askNext(reply.Relay)
	}
	return taken
}

// question asks for what this node does not hold yet.
func (c *Client) question(wait time.Duration) NewestArgs {
	have := c.Version()
	args := NewestArgs{
		Have: have, Wait: wait, Unconfirmed: c.fast && (have == 0 || c.lacksTargets()),
		Entry: c.entry.Address, Life: c.life, Entries: c.entriesHeld, Directory: true, Disk: c.entry.Disk, Roster: c.held, DataHall: c.entry.DataHall,
	}
	if c.whole {
		args.Have = 0
	}
	args.Versions = anyVersions
	if c.agent != nil {
		args.Versions = c.agent.Revision()
	}
	return args
}

// lacksTargets reports whether the node was told no list of targets yet, where it is told
// one.
func (c *Client) lacksTargets() bool { return c.fed != nil && c.held == 0 }

// askNext sets whom to ask from now on.
func (c *Client) askNext(node walnutramp.NodeName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = node
}

// LearnGroup takes the members that somebody of the group named.
func (c *Client) LearnGroup(group []walnutramp.NodeName) {
	if len(group) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.group = group
}

// target returns whom to ask: the leader if known, else any member.
func (c *Client) target() walnutramp.NodeName {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		known := c.known()
		if others := without(known, c.missed); len(others) > 0 {
			known = others
		}
		c.leader = known[rand.IntN(len(known))]
	}
	return c.leader
}

// known returns the seeds and the members. The caller holds the mutex.
func (c *Client) known() []walnutramp.NodeName {
	known := slices.Clone(c.group)
	for _, s := range c.seeds {
		if !slices.Contains(known, s) {
			known = append(known, s)
		}
	}
	return known
}

// without returns a list without one of its elements.
func without[T comparable](list []T, left T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(e T) bool { return e == left })
}

// forgetLeader notes that the node that was asked last is no leader, or does
// not answer: it is not asked again next, whoever names it.
func (c *Client) forgetLeader(hint walnutramp.NodeName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	missed := c.missed
	c.missed, c.leader = c.leader, ""
	if hint != "" && hint == missed {
		return // a member that has not heard of the new leader yet
	}
	if c.fast && hint != "" || slices.Contains(c.seeds, hint) {
		c.leader = hint
	}
}

// take puts a newer document in force and extends the lease. The answer is a
// node's to the question of one that holds a version.
func (c *Client) take(node walnutramp.NodeName, had uint64, r *NewestReply, asked time.Time) bool {
	c.mu.Lock()
	doc, have := c.doc, c.have
	c.mu.Unlock()
	if r.Version < have {
		return false // an older leader's word; versions never go back
	}
	if r.Version > have {
		next, err := c.document(c.ctx, node, had, doc, r)
		if err == nil {
			err = c.adopt(r.Version, next)
		}
		if err != nil {
			klog.ErrorS(err, "Configuration not taken", "version", r.Version, "had", had)
			c.whole = true
			return false
		}
		klog.InfoS("Configuration in force", "version", r.Version, "had", have, "bytes", len(next), "confirmed", !r.Unconfirmed)
		doc = next
	}
	c.whole = false
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doc, c.have = doc, r.Version
	if r.Unconfirmed {
		return true
	}
	c.until = asked.Add(LeaseTime)
	return true
}
