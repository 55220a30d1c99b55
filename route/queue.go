package route

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp"
)

type pickResult struct {
	grant *Grant
	err   error
}

// waiter is a request that waits for a place.
type waiter struct {
	req      Request
	result   chan pickResult
	patience time.Duration // how long it may wait
	finish   float64       // virtual time at which its account's share is used up
}

// errShedSelf stands for the newcomer itself in shedFor's answer.
var errShedSelf = &waiter{}

// lane is the queue of one model: resumes on their own, others by priority,
// and among equals by weighted fair queueing over accounts.
type lane struct {
	size    int
	resumes []*waiter
	classes []*class      // priority falling
	gap     time.Duration // between places granted while some wait, smoothed
	last    time.Time
}

// class is the waiters of one priority.
type class struct {
	priority int
	virtual  float64
	finished map[walnutramp.ClientAccount]float64
	waiters  []*waiter // by finish rising
}

func newLane() *lane { return &lane{} }

func (l *lane) empty() bool { return l.size == 0 }

func (l *lane) push(w *waiter) {
	l.size++
	if w.req.Resume {
		l.resumes = append(l.resumes, w)
		return
	}
	l.class(w.req.Priority).push(w)
}

func (l *lane) class(priority int) *class {
	i, ok := slices.BinarySearchFunc(l.classes, priority, func(c *class, p int) int { return p - c.priority })
	if !ok {
		c := &class{priority: priority, finished: map[walnutramp.ClientAccount]float64{}}
		l.classes = slices.Insert(l.classes, i, c)
	}
	return l.classes[i]
}

func (c *class) push(w *waiter) {
	start := max(c.virtual, c.finished[w.req.Account])
	w.finish = start + 1/float64(max(w.req.Weight, 1))
	c.finished[w.req.Account] = w.finish
	i, _ := slices.BinarySearchFunc(c.waiters, w.finish, func(x *waiter, f float64) int {
		if x.finish <= f {
			return -1
		}
		return 1
	})
	c.waiters = slices.Insert(c.waiters, i, w)
}

// peek returns the resume or the new request that is next, or nil.
func (l *lane) peek(resumes bool) *waiter {
	if resumes {
		if len(l.resumes) == 0 {
			return nil
		}
		return l.resumes[0]
	}
	for _, c := range l.classes {
		if len(c.waiters) > 0 {
			return c.waiters[0]
		}
	}
	return nil
}

func (l *lane) remove(w *waiter) {
	if w.req.Resume {
		n := len(l.resumes)
		l.resumes = slices.DeleteFunc(l.resumes, func(x *waiter) bool { return x == w })
		l.size -= n - len(l.resumes)
		return
	}
	c := l.class(w.req.Priority)
	i := slices.Index(c.waiters, w)
	if i < 0 {
		return
	}
	if i == 0 {
		c.virtual = max(c.virtual, w.finish-1/float64(max(w.req.Weight, 1)))
	}
	c.waiters = slices.Delete(c.waiters, i, i+1)
	l.size--
}

// shedFor names the waiter that must go so that req can wait: the last of
// the lowest class, or errShedSelf. It returns nil while there is room.
// Resumes are never shed.
func (l *lane) shedFor(req Request, limit int) *waiter {
	if req.Resume || l.size < limit {
		return nil
	}
	for i := len(l.classes) - 1; i >= 0; i-- {
		c := l.classes[i]
		if len(c.waiters) == 0 {
			continue
		}
		if c.priority >= req.Priority {
			return errShedSelf
		}
		w := c.waiters[len(c.waiters)-1]
		l.remove(w)
		return w
	}
	return errShedSelf
}

// served notes that a place was granted to a waiter.
func (l *lane) served(now time.Time) {
	if since := now.Sub(l.last); since < maxGap {
		l.gap += time.Duration(smoothing * float64(since-l.gap))
	}
	l.last = now
}

// maxGap bounds what counts as the time between two places: after it the
// queue was empty.
const maxGap = 2 * time.Second

// waitOf predicts how long a newcomer of a priority would wait.
func (l *lane) waitOf(priority int) time.Duration {
	ahead := 0
	for _, c := range l.classes {
		if c.priority >= priority {
			ahead += len(c.waiters)
		}
	}
	return time.Duration(ahead) * l.gap
}

// drainTime predicts how long the queue of now needs, between the bounds
// that callers are told.
func (l *lane) drainTime() time.Duration {
	const least, most = time.Second, 30 * time.Second
	return min(max(time.Duration(l.size)*l.gap, least), most)
}
