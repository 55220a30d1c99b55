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

// Times of keeping the group's time.
const (
	askTimeEvery = 1 * time.Second        // the steady clock bridges the time between
	askTimeSoon  = 100 * time.Millisecond // while a new leader has no agreement yet
	askTimeLimit = 300 * time.Millisecond // a slower answer tells too little
)

// Timekeeper keeps the group's time on a member: while the member leads, by
// asking the others for their times of day; else by the leader's word.
type Timekeeper struct {
	peers    Peers
	node     walnutramp.NodeName
	member   *consensus.Member
	follower *groupclock.Follower
	wall     func() time.Time

	mu        sync.Mutex
	agreement *groupclock.Agreement
	newest    groupclock.Result // of the time as leader
}

// TimekeeperOption sets how a Timekeeper works.
type TimekeeperOption func(*Timekeeper)

// WithTimeOfDay sets the clock that tells the member's time of day.
func WithTimeOfDay(wall func() time.Time) TimekeeperOption {
	return func(k *Timekeeper) { k.wall = wall }
}

// NewTimekeeper returns a timekeeper for a member's server, which tells the
// group's time with its answers from then on.
func NewTimekeeper(peers Peers, node walnutramp.NodeName, m *consensus.Member, s *Server, opts ...TimekeeperOption) *Timekeeper {
	steady := groupclock.NewSteady()
	k := &Timekeeper{
		peers: peers, node: node, member: m, wall: time.Now,
		follower: groupclock.NewFollower(steady), agreement: groupclock.NewAgreement(steady),
	}
	for _, opt := range opts {
		opt(k)
	}
	s.timekeeper = k
	return k
}

// Clock returns the group's clock, as this member knows it.
func (k *Timekeeper) Clock() groupclock.Clock { return k.follower }

// Agreement returns what the members' clocks last agreed on; empty where this
// member does not lead.
func (k *Timekeeper) Agreement() groupclock.Result {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newest
}

// Time implements the RPC for a member's time of day.
func (s *Server) Time(_ TimeArgs, reply *TimeReply) error {
	if s.timekeeper != nil {
		reply.Unix = s.timekeeper.timeOfDay()
	}
	return nil
}

func (k *Timekeeper) timeOfDay() time.Duration { return time.Duration(k.wall().UnixNano()) }

// Run asks the members while this one leads, until ctx ends.
func (k *Timekeeper) Run(ctx context.Context) {
	every := askTimeSoon
	for pause.For(ctx, every) {
		every = askTimeSoon
		if !k.member.Leads() {
			k.resign()
			continue
		}
		group := k.member.Status().Group
		k.askAll(ctx, group.Nodes())
		if k.agree(group.Counted()) {
			every = askTimeEvery
		}
	}
}

func (k *Timekeeper) resign() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.agreement.Forget()
	k.newest = groupclock.Result{}
}

// askAll asks all members at once for their times of day.
func (k *Timekeeper) askAll(ctx context.Context, members []walnutramp.NodeName) {
	ctx, cancel := context.WithTimeout(ctx, askTimeLimit)
	defer cancel()
	var tasks sync.WaitGroup
	for _, member := range members {
		if member == k.node {
			k.heard(member, k.timeOfDay(), k.follower.Steady())
			continue
		}
		tasks.Go(func() { k.ask(ctx, member) })
	}
	tasks.Wait()
}

func (k *Timekeeper) ask(ctx context.Context, member walnutramp.NodeName) {
	asked := k.follower.Steady()
	var reply TimeReply
	err := k.peers.Call(ctx, member, Service+".Time", TimeArgs{}, &reply)
	if err != nil || reply.Unix == 0 {
		klog.V(1).InfoS("Time of day not heard", "member", member, "err", err)
		return
	}
	k.heard(member, reply.Unix, asked)
}

func (k *Timekeeper) heard(member walnutramp.NodeName, unix, asked time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.agreement.Heard(string(member), unix, asked)
}

// agree takes what the members agree on; false if that is nothing.
func (k *Timekeeper) agree(group int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.newest
	k.newest = k.agreement.Result(group)
	k.follower.Agreed(k.newest)
	if k.newest.Agreed != before.Agreed {
		klog.InfoS("Members' times of day", "agreed", k.newest.Agreed, "heard", k.newest.Heard, "of", group,
			"spread_ms", k.newest.Spread.Milliseconds(), "within_us", k.newest.Within.Microseconds())
	}
	return k.newest.Agreed
}

// stamp puts the group's time on an answer to a question that came at a time.
func (s *Server) stamp(reply *NewestReply, came time.Time) {
	if s.timekeeper != nil {
		reply.Time = s.timekeeper.follower.Stamp(uptime.Since(came))
	}
}

// hear takes the time that came with the leader's answer.
func (k *Timekeeper) hear(told *groupclock.Stamp, asked time.Time) {
	if k != nil {
		hearTime(k.follower, told, asked)
	}
}

// WithClock has the client keep a clock by the group's time. It is called
// before Start.
func (c *Client) WithClock(f *groupclock.Follower) { c.clock = f }

// takeTime takes the time that came with an answer.
func (c *Client) takeTime(told *groupclock.Stamp, asked time.Time) {
	if c.clock != nil {
		hearTime(c.clock, told, asked)
	}
}

// hearTime has a clock take a stamp that came just now; nil says nothing.
func hearTime(f *groupclock.Follower, told *groupclock.Stamp, asked time.Time) {
	if told == nil {
		return
	}
	_, _, known := f.Now()
	f.Heard(*told, f.Steady()-uptime.Since(asked))
	if !known {
		_, within, _ := f.Now()
		klog.InfoS("The group's time is known", "within_us", within.Microseconds())
	}
}
