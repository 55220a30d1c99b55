package rollout

import "time"

// Request is one request under way while its service has a roll-out. All
// methods may be called on nil, which notes nothing.
type Request struct {
	agent   *Agent
	service *service
	key     Key
	sent    time.Time
	first   bool // its time to the first event is counted
	ended   bool
}

// change changes the counts of the request's key. The caller holds the agent's
// mutex.
func (r *Request) change(f func(*Counts)) {
	counts := r.service.counts[r.key]
	if counts == nil {
		counts = &Counts{}
		r.service.counts[r.key] = counts
	}
	f(counts)
	r.service.changed[r.key] = true
}

func (r *Request) noteFirst(took time.Duration) {
	if !r.first {
		r.change(func(c *Counts) { c.First = c.First.Note(took) })
	}
	r.first = true
	delete(r.service.waiting, r)
}

// First notes that the first event, or the whole answer, has come.
func (r *Request) First() {
	if r == nil {
		return
	}
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	r.noteFirst(r.agent.now().Sub(r.sent))
}

// Pace notes the mean time between a stream's events.
func (r *Request) Pace(d time.Duration) {
	if r == nil {
		return
	}
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	r.change(func(c *Counts) { c.Pace = c.Pace.Note(d) })
}

// New reports whether the request is at a target of the new version.
func (r *Request) New() bool { return r != nil && r.key.Target != "" }

// Ended notes how the request ended, once.
func (r *Request) Ended(o Outcome) {
	if r == nil {
		return
	}
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	delete(r.service.waiting, r)
	r.change(func(c *Counts) { c.note(o) })
}

// Dropped notes that the request ended in a way that says nothing of the
// version: its client left, or its target was lost with others.
func (r *Request) Dropped() {
	if r == nil {
		return
	}
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	r.ended = true
	delete(r.service.waiting, r)
}
