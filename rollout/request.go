package rollout

import "time"

// Request tracks one request during a rollout of its service. All methods do
// nothing on a nil Request.
type Request struct {
	agent         *Agent
	service       *service
	key           Key
	sent          time.Time
	firstRecorded bool // time to first event is recorded
	ended         bool
}

// update updates the counts of the request's key. The caller must hold the
// agent's mutex.
func (r *Request) update(f func(*Counts)) {
	counts := r.service.counts[r.key]
	if counts == nil {
		counts = &Counts{}
		r.service.counts[r.key] = counts
	}
	f(counts)
	r.service.changed[r.key] = true
}

func (r *Request) recordFirst(latency time.Duration) {
	if !r.firstRecorded {
		r.update(func(c *Counts) { c.First = c.First.Add(latency) })
	}
	r.firstRecorded = true
	delete(r.service.waiting, r)
}

// RecordFirstEvent records that the first event, or the complete answer, has arrived.
func (r *Request) RecordFirstEvent() {
	if r == nil {
		return
	}
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	r.recordFirst(r.agent.now().Sub(r.sent))
}

// RecordEventInterval records the mean interval between the events of a stream.
func (r *Request) RecordEventInterval(d time.Duration) {
	if r == nil {
		return
	}
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	r.update(func(c *Counts) { c.Pace = c.Pace.Add(d) })
}

// IsNewVersion reports whether the request went to a target of the new version.
func (r *Request) IsNewVersion() bool { return r != nil && r.key.Target != "" }

// Finish records the outcome of the request. Only the first call counts.
func (r *Request) Finish(o Outcome) {
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
	r.update(func(c *Counts) { c.add(o) })
}

// Discard ends the request without an outcome, because it says nothing about
// the version: the client disconnected, or the target failed together with
// others.
func (r *Request) Discard() {
	if r == nil {
		return
	}
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	r.ended = true
	delete(r.service.waiting, r)
}
