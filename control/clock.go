package control

import (
	"context"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/groupclock"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// Intervals and timeout of queries for the members' wall clocks.
const (
	timeQueryInterval      = 1 * time.Second        // the monotonic clock covers the time between
	timeQueryRetryInterval = 100 * time.Millisecond // until the members' clocks agree
	timeQueryTimeout       = 300 * time.Millisecond // a slower answer is too imprecise
)

// Timekeeper maintains the group's time on a member. The leader derives it from the
// members' wall clocks; other members follow the leader.
type Timekeeper struct {
	peers     Peers
	node      walnutramp.NodeName
	member    *consensus.Member
	follower  *groupclock.Follower
	wallClock func() time.Time

	mu        sync.Mutex
	agreement *groupclock.Agreement
	latest    groupclock.Result // while leading
}

// TimekeeperOption configures a Timekeeper.
type TimekeeperOption func(*Timekeeper)

// WithWallClock sets the member's wall clock.
func WithWallClock(wall func() time.Time) TimekeeperOption {
	return func(k *Timekeeper) { k.wallClock = wall }
}

// NewTimekeeper returns a timekeeper and attaches it to a member's server, which
// then adds the group's time to its replies.
func NewTimekeeper(peers Peers, node walnutramp.NodeName, m *consensus.Member, s *Server, opts ...TimekeeperOption) *Timekeeper {
	monotonic := groupclock.NewSteady()
	k := &Timekeeper{
		peers: peers, node: node, member: m, wallClock: time.Now,
		follower: groupclock.NewFollower(monotonic), agreement: groupclock.NewAgreement(monotonic),
	}
	for _, opt := range opts {
		opt(k)
	}
	s.timekeeper = k
	return k
}

// Clock returns the group's clock as known to this member.
func (k *Timekeeper) Clock() groupclock.Clock { return k.follower }

// Agreement returns the latest result of comparing the members' clocks, which says
// whether they agree; empty if this member does not lead.
func (k *Timekeeper) Agreement() groupclock.Result {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.latest
}

// Time implements the RPC that returns a member's wall clock.
func (s *Server) Time(_ TimeArgs, reply *TimeReply) error {
	if s.timekeeper != nil {
		reply.Unix = s.timekeeper.wallTime()
	}
	return nil
}

func (k *Timekeeper) wallTime() time.Duration { return time.Duration(k.wallClock().UnixNano()) }

// Run queries the members' clocks while this member leads, until ctx ends.
func (k *Timekeeper) Run(ctx context.Context) {
	interval := timeQueryRetryInterval
	for pause.For(ctx, interval) {
		interval = timeQueryRetryInterval
		if !k.member.Leads() {
			k.resetAgreement()
			continue
		}
		group := k.member.Status().Group
		k.queryMembers(ctx, group.Nodes())
		if k.updateAgreement(group.Counted()) {
			interval = timeQueryInterval
		}
	}
}

func (k *Timekeeper) resetAgreement() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.agreement.Forget()
	k.latest = groupclock.Result{}
}

// queryMembers queries the wall clocks of all members concurrently.
func (k *Timekeeper) queryMembers(ctx context.Context, members []walnutramp.NodeName) {
	ctx, cancel := context.WithTimeout(ctx, timeQueryTimeout)
	defer cancel()
	var tasks sync.WaitGroup
	for _, member := range members {
		if member == k.node {
			k.recordTime(member, k.wallTime(), k.follower.Steady())
			continue
		}
		tasks.Go(func() { k.queryMember(ctx, member) })
	}
	tasks.Wait()
}

func (k *Timekeeper) queryMember(ctx context.Context, member walnutramp.NodeName) {
	askedAt := k.follower.Steady()
	var reply TimeReply
	err := k.peers.Call(ctx, member, Service+".Time", TimeArgs{}, &reply)
	if err != nil || reply.Unix == 0 {
		klog.V(1).InfoS("Failed to query wall clock", "member", member, "err", err)
		return
	}
	k.recordTime(member, reply.Unix, askedAt)
}

func (k *Timekeeper) recordTime(member walnutramp.NodeName, unix, askedAt time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.agreement.AddSample(string(member), unix, askedAt)
}

// updateAgreement recomputes the group's time and reports whether the members'
// clocks agree.
func (k *Timekeeper) updateAgreement(memberCount int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.latest
	k.latest = k.agreement.Result(memberCount)
	k.follower.SetResult(k.latest)
	if k.latest.Agreed != before.Agreed {
		klog.InfoS("Members' times of day", "agreed", k.latest.Agreed, "heard", k.latest.Samples, "of", memberCount,
			"spread_ms", k.latest.Spread.Milliseconds(), "within_us", k.latest.Within.Microseconds())
	}
	return k.latest.Agreed
}

// addTime adds the group's time to the reply to a request received at receivedAt.
func (s *Server) addTime(reply *NewestReply, receivedAt time.Time) {
	if s.timekeeper != nil {
		reply.Time = s.timekeeper.follower.Stamp(uptime.Since(receivedAt))
	}
}

// observe applies the time stamp of a leader's reply; k may be nil.
func (k *Timekeeper) observe(stamp *groupclock.Stamp, askedAt time.Time) {
	if k != nil {
		observeStamp(k.follower, stamp, askedAt)
	}
}

// WithClock makes the client follow the group's time. It must be called before
// Start.
func (c *Client) WithClock(f *groupclock.Follower) { c.clock = f }

// observeTime applies the time stamp of a reply.
func (c *Client) observeTime(stamp *groupclock.Stamp, askedAt time.Time) {
	if c.clock != nil {
		observeStamp(c.clock, stamp, askedAt)
	}
}

// observeStamp applies a stamp that was just received to a clock; nil is ignored.
func observeStamp(f *groupclock.Follower, stamp *groupclock.Stamp, askedAt time.Time) {
	if stamp == nil {
		return
	}
	_, _, known := f.Now()
	f.AddSample(*stamp, f.Steady()-uptime.Since(askedAt))
	if !known {
		_, within, _ := f.Now()
		klog.InfoS("Synchronized with the group's time", "within_us", within.Microseconds())
	}
}
