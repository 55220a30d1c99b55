package ratelimit

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Each node that learns of a changed limit tells a few others, once. So a new limit reaches
// nearly all nodes within some hops, before each of them has sent the target a request and
// learned of it from the response. The others learn of it that way.

const (
	// newsFanout is the number of nodes that a node tells of a change. With four, all but
	// one in fifty are reached.
	newsFanout = 4
	// newsDelay is how long changes are collected before they are sent.
	newsDelay = 10 * time.Millisecond
	// newsRate bounds what is sent, in changes per second and recipient: a site's targets
	// may all change their limits at once.
	newsRate = 8
	// maxNews bounds the changes in one message.
	maxNews = 50
)

// news holds the targets whose changed limits are still to be told.
type news struct {
	targets   []string
	scheduled bool
	sentUntil time.Time // when newsRate allows the next message
}

// spread tells some other nodes of a target's limit. The caller holds the mutex.
func (l *Limiter) spread(s *targetState) {
	if l.ownership == nil || s.queued {
		return
	}
	s.queued = true
	l.news.targets = append(l.news.targets, s.name)
	l.scheduleNews()
}

// scheduleNews schedules the next message. The caller holds the mutex.
func (l *Limiter) scheduleNews() {
	if l.news.scheduled || len(l.news.targets) == 0 {
		return
	}
	l.news.scheduled = true
	time.AfterFunc(max(newsDelay, uptime.Until(l.news.sentUntil)), l.sendNews)
}

// sendNews sends the oldest changes to random nodes.
func (l *Limiter) sendNews() {
	l.mu.Lock()
	changes := l.takeNews()
	l.news.sentUntil = uptime.Now().Add(time.Duration(len(changes)) * time.Second / newsRate)
	l.news.scheduled = false
	l.scheduleNews()
	l.mu.Unlock()
	if len(changes) > 0 {
		l.network.Spread(newsFanout, changes)
	}
}

// takeNews returns the oldest changes. The caller holds the mutex.
func (l *Limiter) takeNews() (changes []Change) {
	n := min(maxNews, len(l.news.targets))
	now := uptime.Now()
	for _, target := range l.news.targets[:n] {
		if s := l.targets[target]; s != nil {
			s.queued = false
			changes = append(changes, Change{Target: target, Rate: s.notice.Rate, Age: s.notice.age(now)})
		}
	}
	l.news.targets = slices.Delete(l.news.targets, 0, n)
	return changes
}
