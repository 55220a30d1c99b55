package balance

import "time"

// Work is what one request asks of a target.
type Work struct {
	Read int // prompt tokens that the target reads before the first event
	Hold int // tokens of memory that the run takes up
}

// Run is one request of this node under way at a target.
type Run struct {
	target *Target
	work   Work
	began  time.Time
	first  bool // its first event has come
}

// Begin counts a request in.
func (t *Target) Begin(w Work) *Run {
	r := &Run{target: t, work: w, began: time.Now()}
	t.tracker.mu.Lock()
	t.runs[r] = struct{}{}
	t.tracker.mu.Unlock()
	if w != (Work{}) {
		t.tracker.changed()
	}
	return r
}

// FirstEvent notes that the target has read the prompt.
func (r *Run) FirstEvent() {
	r.target.tracker.mu.Lock()
	r.first = true
	r.target.tracker.mu.Unlock()
	r.target.tracker.changed()
}

// End counts the request out.
func (r *Run) End() {
	r.target.tracker.mu.Lock()
	delete(r.target.runs, r)
	r.target.tracker.mu.Unlock()
	if r.work != (Work{}) {
		r.target.tracker.changed()
	}
}

// Shared is what nodes tell each other of a run.
type Shared struct {
	Target string
	Read   int           // tokens still to be read when it began; 0 once the first event has come
	Hold   int           // tokens of memory
	Age    time.Duration // since it began
}

// sharedRuns is what another node told.
type sharedRuns struct {
	at       time.Time
	byTarget map[string][]Shared
}

// sharedLife is how long another node's word counts.
const sharedLife = 3 * time.Second

// OnChange sets what is called when this node's runs change.
func (t *Tracker) OnChange(f func()) { t.changed = f }

// Runs returns this node's runs that ask anything of their targets.
func (t *Tracker) Runs() []Shared {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Shared
	for id, target := range t.byID {
		for r := range target.runs {
			if r.work != (Work{}) {
				all = append(all, r.shared(id))
			}
		}
	}
	return all
}

func (r *Run) shared(id string) Shared {
	s := Shared{Target: id, Read: r.work.Read, Hold: r.work.Hold, Age: time.Since(r.began)}
	if r.first {
		s.Read = 0
	}
	return s
}

// SetOthers takes another node's runs in place of what it told before.
func (t *Tracker) SetOthers(node string, runs []Shared) {
	byTarget := map[string][]Shared{}
	for _, s := range runs {
		byTarget[s.Target] = append(byTarget[s.Target], s)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others[node] = sharedRuns{at: time.Now(), byTarget: byTarget}
}

// underWay returns all runs known at a target. The caller holds the mutex.
func (t *Target) underWay(now time.Time) []Shared {
	var all []Shared
	for r := range t.runs {
		all = append(all, r.shared(t.ID))
	}
	for node, o := range t.tracker.others {
		age := now.Sub(o.at)
		if age > sharedLife {
			delete(t.tracker.others, node)
			continue
		}
		for _, s := range o.byTarget[t.ID] {
			s.Age += age
			all = append(all, s)
		}
	}
	return all
}
