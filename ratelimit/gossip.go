package ratelimit

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Each node that learns of a changed limit sends it to a few others, once. So a new limit reaches
// nearly all nodes within some hops, before each of them has sent the target a request and
// learned of it from the response. The others learn of it that way.

const (
	// gossipFanout is the number of nodes that a node sends a change to. With four, all but
	// one in fifty are reached.
	gossipFanout = 4
	// gossipDelay is how long changes are collected before they are sent.
	gossipDelay = 10 * time.Millisecond
	// gossipRate bounds what is sent, in changes per second and recipient: a site's targets
	// may all change their limits at once.
	gossipRate = 8
	// maxGossip bounds the changes in one message.
	maxGossip = 50
)

// gossip holds the targets whose changed limits are still to be sent.
type gossip struct {
	targets   []string
	scheduled bool
	sentUntil time.Time // when gossipRate allows the next message
}

// queueGossip queues a target's limit to be sent to some other nodes. The caller holds the mutex.
func (l *Limiter) queueGossip(s *targetState) {
	if l.ownership == nil || s.queued {
		return
	}
	s.queued = true
	l.gossip.targets = append(l.gossip.targets, s.name)
	l.scheduleGossip()
}

// scheduleGossip schedules the next message. The caller holds the mutex.
func (l *Limiter) scheduleGossip() {
	if l.gossip.scheduled || len(l.gossip.targets) == 0 {
		return
	}
	l.gossip.scheduled = true
	jitter := time.Duration(l.rng.Int64N(int64(gossipDelay))) // so that two nodes don't swap contradicting limits in step
	time.AfterFunc(max(gossipDelay, uptime.Until(l.gossip.sentUntil))+jitter, l.sendGossip)
}

// sendGossip sends the oldest changes to random nodes.
func (l *Limiter) sendGossip() {
	l.mu.Lock()
	changes := l.takeGossip()
	l.gossip.sentUntil = uptime.Now().Add(time.Duration(len(changes)) * time.Second / gossipRate)
	l.gossip.scheduled = false
	l.scheduleGossip()
	l.mu.Unlock()
	if len(changes) > 0 {
		l.network.Gossip(gossipFanout, changes)
	}
}

// takeGossip returns the oldest changes. The caller holds the mutex.
func (l *Limiter) takeGossip() (changes []Change) {
	n := min(maxGossip, len(l.gossip.targets))
	now := uptime.Now()
	for _, target := range l.gossip.targets[:n] {
		if s := l.targets[target]; s != nil {
			s.queued = false
			changes = append(changes, Change{Target: target, Rate: s.notice.Rate, Age: s.notice.age(now)})
		}
	}
	l.gossip.targets = slices.Delete(l.gossip.targets, 0, n)
	return changes
}
