package route

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp"
)

type grantResult struct {
	grant *Grant
	err   error
}

// waiter is a queued request.
type waiter struct {
	req     Request
	result  chan grantResult
	maxWait time.Duration // longest time in the queue
	finish  float64       // virtual finish time of weighted fair queueing
}

// shedSelf is returned by shedCandidate if the new request itself must be shed.
var shedSelf = &waiter{}

// modelQueue is the queue of one model: resumes first-in first-out, and new requests by
// priority and, within a priority, by weighted fair queueing over accounts.
type modelQueue struct {
	size          int
	resumes       []*waiter
	priorities    []*priorityQueue // by descending priority
	grantInterval time.Duration    // smoothed interval between grants while requests are queued
	lastGrant     time.Time
}

// priorityQueue is the queue of one priority.
type priorityQueue struct {
	priority    int
	virtualTime float64
	lastFinish  map[walnutramp.ClientAccount]float64
	waiters     []*waiter // by ascending finish
}

func newModelQueue() *modelQueue { return &modelQueue{} }

func (q *modelQueue) empty() bool { return q.size == 0 }

func (q *modelQueue) push(w *waiter) {
	q.size++
	if w.req.Resume {
		q.resumes = append(q.resumes, w)
		return
	}
	q.priority(w.req.Priority).push(w)
}

func (q *modelQueue) priority(priority int) *priorityQueue {
	i, ok := slices.BinarySearchFunc(q.priorities, priority, func(c *priorityQueue, p int) int { return p - c.priority })
	if !ok {
		c := &priorityQueue{priority: priority, lastFinish: map[walnutramp.ClientAccount]float64{}}
		q.priorities = slices.Insert(q.priorities, i, c)
	}
	return q.priorities[i]
}

func (c *priorityQueue) push(w *waiter) {
	start := max(c.virtualTime, c.lastFinish[w.req.Account])
	w.finish = start + 1/float64(max(w.req.Weight, 1))
	c.lastFinish[w.req.Account] = w.finish
	i, _ := slices.BinarySearchFunc(c.waiters, w.finish, func(x *waiter, f float64) int {
		if x.finish <= f {
			return -1
		}
		return 1
	})
	c.waiters = slices.Insert(c.waiters, i, w)
}

// peek returns the next resume or new request, or nil.
func (q *modelQueue) peek(resumes bool) *waiter {
	if resumes {
		if len(q.resumes) == 0 {
			return nil
		}
		return q.resumes[0]
	}
	for _, c := range q.priorities {
		if len(c.waiters) > 0 {
			return c.waiters[0]
		}
	}
	return nil
}

func (q *modelQueue) remove(w *waiter) {
	if w.req.Resume {
		n := len(q.resumes)
		q.resumes = slices.DeleteFunc(q.resumes, func(x *waiter) bool { return x == w })
		q.size -= n - len(q.resumes)
		return
	}
	c := q.priority(w.req.Priority)
	i := slices.Index(c.waiters, w)
	if i < 0 {
		return
	}
	if i == 0 {
		c.virtualTime = max(c.virtualTime, w.finish-1/float64(max(w.req.Weight, 1)))
	}
	c.waiters = slices.Delete(c.waiters, i, i+1)
	q.size--
}

// shedCandidate returns the waiter to shed so that req can be queued: the last of the
// lowest priority, or shedSelf. It returns nil while the queue has room. Resumes are
// never shed.
func (q *modelQueue) shedCandidate(req Request, limit int) *waiter {
	if req.Resume || q.size < limit {
		return nil
	}
	for i := len(q.priorities) - 1; i >= 0; i-- {
		c := q.priorities[i]
		if len(c.waiters) == 0 {
			continue
		}
		if c.priority >= req.Priority {
			return shedSelf
		}
		w := c.waiters[len(c.waiters)-1]
		q.remove(w)
		return w
	}
	return shedSelf
}

// recordGrant records that a waiter was granted a slot.
func (q *modelQueue) recordGrant(now time.Time) {
	if interval := now.Sub(q.lastGrant); interval < maxGrantInterval {
		q.grantInterval += time.Duration(meanSmoothing * float64(interval-q.grantInterval))
	}
	q.lastGrant = now
}

// maxGrantInterval bounds the interval between two grants: a longer one means that the
// queue was empty.
const maxGrantInterval = 2 * time.Second

// predictedWait predicts the wait of a new request of a priority.
func (q *modelQueue) predictedWait(priority int) time.Duration {
	ahead := 0
	for _, c := range q.priorities {
		if c.priority >= priority {
			ahead += len(c.waiters)
		}
	}
	return time.Duration(ahead) * q.grantInterval
}

// drainTime predicts how long the queue takes to drain, within the bounds of
// Retry-After.
func (q *modelQueue) drainTime() time.Duration {
	const least, most = time.Second, 30 * time.Second
	return min(max(time.Duration(q.size)*q.grantInterval, least), most)
}
