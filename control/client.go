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

// Peers calls other nodes, and this one if it is a member itself.
type Peers interface {
	// Call runs a method of a node's service and fills reply.
	Call(ctx context.Context, node walnutramp.NodeName, method string, args, reply any) error
}

// Timeouts, intervals and rates of calls to the control group.
const (
	renewLongPoll     = 1 * time.Second // how long the leader may hold a request until something changes
	renewTimeout      = 2500 * time.Millisecond
	renewRetryDelay   = 100 * time.Millisecond
	initialLongPoll   = 300 * time.Millisecond // instead of renewLongPoll while the node holds no document
	initialRetryDelay = 30 * time.Millisecond  // instead of renewRetryDelay while the node holds no document
	responseTimeout   = 600 * time.Millisecond // on top of the long poll, if members change
	commandTimeout    = 3 * time.Second        // of a command with all its attempts
	attemptTimeout    = 1 * time.Second        // of one attempt
	retryDelay        = 50 * time.Millisecond
	minOfferRate      = 1 << 20 // bytes per second at which a document is at least transferred and replicated; a link of 100 Mbit/s to seven followers gives 1.7 MB/s

	// LeaseTime is how long a node may accept new requests after it asked the leader to
	// confirm that its bundle is the newest.
	LeaseTime = 3 * time.Second
)

// Client is a node's client of the control group. It keeps the newest bundle and
// its lease, and implements caller.Ledger.
type Client struct {
	peers             Peers
	adopt             AdoptFunc
	self              EntryNode      // this node as an entry node; without an address if it is none
	onEntryNodes      EntryNodesFunc // receives the directory of entry nodes
	entryNodes        []EntryNode    // as last received
	entryNodesVersion uint64         // version of entryNodes; 0 requests all of them
	onTargets         TargetsFunc    // receives the target list
	targetsVersion    uint64         // version of the target list; 0 requests the full list
	dynamicMembers    bool           // members change, so timeouts are short
	needFull          bool           // an update did not apply: request the full document
	contact           contactMonitor
	agent             *rollout.Agent       // of roll-outs; nil if unused
	clock             *groupclock.Follower // of the group's time; nil if unused
	usage             *metering.Counter    // of requests; nil if unused
	demand            DemandSource         // of services; nil if unused
	quota             *quota.Holder        // of this node's share of the quotas; nil if unused
	ownership         *quota.Ownership     // of keys by the nodes that have a share; nil if unused
	sharers           []EntryNode          // nodes that have a share, as last received
	sharersVersion    uint64               // version of sharers; 0 requests all of them
	incarnation       uint64               // identifies this process

	mu           sync.Mutex
	seeds        []walnutramp.NodeName // contacted regardless of membership
	group        []walnutramp.NodeName // as last received
	leader       walnutramp.NodeName   // leader or relay as last known; empty if unknown
	lastFailed   walnutramp.NodeName   // node that was asked last without success
	doc          []byte
	version      uint64
	leaseEnd     time.Time
	reportMember walnutramp.NodeName // member that takes this node's reports; empty for any

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// AdoptFunc puts a document in force that is newer than all before it.
type AdoptFunc func(version uint64, doc []byte) error

// NewClient returns a client of a group with fixed members. inForce is called with
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

// NewDocumentClient returns a client of a group whose members change, on a site
// whose documents are not bundles. It discovers the members through the seeds.
func NewDocumentClient(peers Peers, seeds []walnutramp.NodeName, adopt AdoptFunc) *Client {
	c := newClient(peers, seeds, adopt)
	c.dynamicMembers = true
	return c
}

func newClient(peers Peers, seeds []walnutramp.NodeName, adopt AdoptFunc) *Client {
	c := &Client{peers: peers, seeds: seeds, adopt: adopt, incarnation: rand.Uint64() | 1}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// SetSeeds replaces the seeds, which are contacted regardless of membership.
func (c *Client) SetSeeds(seeds []walnutramp.NodeName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// Start starts renewing the lease and sending reports; Close stops both.
func (c *Client) Start() {
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		c.renewLoop()
	}()
	if c.agent != nil {
		c.tasks.Go(c.rolloutReportLoop)
	}
	if c.hasReports() {
		c.tasks.Go(c.reportUsageLoop)
	}
}

// Close stops all background tasks and waits for them.
func (c *Client) Close() {
	c.cancel()
	c.tasks.Wait()
}

// InForce reports whether the node holds the lease and may accept new requests.
func (c *Client) InForce() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uptime.Now().Before(c.leaseEnd)
}

// Version returns the version of the document in force; 0 before the first.
func (c *Client) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

func (c *Client) renewLoop() {
	for c.ctx.Err() == nil {
		if !c.renew() {
			pause.For(c.ctx, c.renewDelay())
		}
	}
}

func (c *Client) renewDelay() time.Duration {
	if c.dynamicMembers && c.Version() == 0 {
		return initialRetryDelay
	}
	return renewRetryDelay
}

// renew asks the leader once. The lease starts when the request is sent, so the
// time that the leader holds the request counts against it.
func (c *Client) renew() bool {
	longPoll, timeout := renewLongPoll, renewTimeout
	if !c.InForce() {
		longPoll = 0
	}
	if c.dynamicMembers && c.Version() == 0 {
		longPoll = initialLongPoll
	}
	if c.dynamicMembers {
		timeout = longPoll + responseTimeout
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	askedAt := uptime.Now()
	var reply NewestReply
	args := c.newestArgs(longPoll)
	node := c.nextNode()
	if err := c.peers.Call(ctx, node, Service+".Newest", args, &reply); err != nil {
		c.contact.recordFailure(node, args.Have, askedAt, err)
		c.switchNode("")
		return false
	}
	c.SetMembers(reply.Group)
	c.observeTime(reply.Time, askedAt)
	c.applyEntryNodes(&reply)
	if reply.Code != walnutramp.CodeOK {
		c.contact.recordFailure(node, args.Have, askedAt, errors.Newf("answered with %v", reply.Code))
		c.switchNode(reply.Leader)
		return false
	}
	c.contact.recordAnswer(node, reply.Version)
	c.setNearMember(reply.Near)
	c.applyShare(&reply, askedAt)
	c.applyVersions(reply.Versions)
	if err := reply.Roster.readFull(c.ctx, c.peers, node, reply.Source); err != nil {
		klog.ErrorS(err, "Failed to read target list", "asked", node)
	} else {
		c.applyTargets(reply.Roster)
	}
	adopted := c.applyNewest(node, args.Have, &reply, askedAt.Add(-reply.Age))
	if reply.Unconfirmed {
		c.switchNode(reply.Leader)
		return false
	}
	if reply.Relay != "" {
		c.setLeader(reply.Relay)
	}
	return adopted
}

// newestArgs requests what this node does not hold yet.
func (c *Client) newestArgs(longPoll time.Duration) NewestArgs {
	have := c.Version()
	args := NewestArgs{
		Have: have, Wait: longPoll, Unconfirmed: c.dynamicMembers && (have == 0 || c.needsTargets()),
		Entry: c.self.Address, Life: c.incarnation, Entries: c.entryNodesVersion, Directory: true, Disk: c.self.Disk, Roster: c.targetsVersion, DataHall: c.self.DataHall,
		Ownership: c.ownership != nil, Sharers: c.sharersVersion,
	}
	if c.needFull {
		args.Have = 0
	}
	args.Versions = anyVersions
	if c.agent != nil {
		args.Versions = c.agent.Revision()
	}
	return args
}

// needsTargets reports whether the client takes the target list but has not
// received one.
func (c *Client) needsTargets() bool { return c.onTargets != nil && c.targetsVersion == 0 }

// setLeader sets the node to ask from now on: the leader, or a relay.
func (c *Client) setLeader(node walnutramp.NodeName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = node
}

// SetMembers records the members as named by a node of the group.
func (c *Client) SetMembers(group []walnutramp.NodeName) {
	if len(group) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.group = group
}

// nextNode returns the node to ask: the leader if known, else a random candidate, if
// possible not the one that failed last.
func (c *Client) nextNode() walnutramp.NodeName {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		candidates := c.candidates()
		if others := without(candidates, c.lastFailed); len(others) > 0 {
			candidates = others
		}
		c.leader = candidates[rand.IntN(len(candidates))]
	}
	return c.leader
}

// candidates returns the members and the seeds. The caller holds the mutex.
func (c *Client) candidates() []walnutramp.NodeName {
	candidates := slices.Clone(c.group)
	for _, s := range c.seeds {
		if !slices.Contains(candidates, s) {
			candidates = append(candidates, s)
		}
	}
	return candidates
}

// without returns a copy of a list without one of its elements.
func without[T comparable](list []T, excluded T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(e T) bool { return e == excluded })
}

// switchNode records that the node asked last does not lead or does not answer. The
// next request goes to hint if the client may ask it and it is not the node that failed
// just before, else to a random candidate.
func (c *Client) switchNode(hint walnutramp.NodeName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previousFailed := c.lastFailed
	c.lastFailed, c.leader = c.leader, ""
	if hint != "" && hint == previousFailed {
		return // the member that sent the hint has not learned of the new leader yet
	}
	if c.dynamicMembers && hint != "" || slices.Contains(c.seeds, hint) {
		c.leader = hint
	}
}

// applyNewest puts a newer document in force and extends the lease. r is node's
// reply to a request for updates of baseVersion.
func (c *Client) applyNewest(node walnutramp.NodeName, baseVersion uint64, r *NewestReply, askedAt time.Time) bool {
	c.mu.Lock()
	doc, have := c.doc, c.version
	c.mu.Unlock()
	if r.Version < have {
		return false // from a former leader; versions never decrease
	}
	if r.Version > have {
		next, err := c.document(c.ctx, node, baseVersion, doc, r)
		if err == nil {
			err = c.adopt(r.Version, next)
		}
		if err != nil {
			klog.ErrorS(err, "Failed to apply configuration", "version", r.Version, "had", baseVersion)
			c.needFull = true
			return false
		}
		klog.InfoS("Configuration in force", "version", r.Version, "had", have, "bytes", len(next), "confirmed", !r.Unconfirmed)
		doc = next
	}
	c.needFull = false
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doc, c.version = doc, r.Version
	if r.Unconfirmed {
		return true
	}
	c.leaseEnd = askedAt.Add(LeaseTime)
	return true
}
