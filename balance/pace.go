package balance

import "time"

// How fast the engines of a service work is learned from the runs of this
// node, and forgotten when the configuration of the engines changes.

// Assumed values, until the first observation takes their place.
const (
	assumedReadPerMS  = 5.0  // prompt tokens read in a millisecond, of a large model on one server
	assumedTokenMS    = 7.0  // milliseconds between two tokens
	assumedWholeRunMS = 6000 // milliseconds of a whole run
)

const (
	// paceMemory is the weight of the newest observation once there are many.
	paceMemory = 0.05
	// paceOutlier bounds an observation to so many times the estimate, or that
	// part of it: a stalled engine says nothing of the others.
	paceOutlier = 4.0
	// leastRead is the shortest prompt, in tokens, whose reading is measured:
	// with a shorter one, other delays weigh too much.
	leastRead = 500
)

// estimate is a mean of observations; once there are many, the newer weigh
// more.
type estimate struct {
	value float64
	seen  int
}

func (e *estimate) observe(x float64) {
	e.seen++
	x = min(max(x, e.value/paceOutlier), e.value*paceOutlier)
	e.value += max(1/float64(e.seen), paceMemory) * (x - e.value)
}

// pace is how fast a service's engines work.
type pace struct {
	readPerMS estimate // prompt tokens read in a millisecond
	tokenMS   estimate // milliseconds between two tokens of an answer
	wholeMS   estimate // milliseconds of a whole run
}

func newPace() *pace {
	return &pace{
		readPerMS: estimate{value: assumedReadPerMS},
		tokenMS:   estimate{value: assumedTokenMS},
		wholeMS:   estimate{value: assumedWholeRunMS},
	}
}

// paceOf returns what is learned of a service's engines. The caller holds the
// mutex.
func (t *Tracker) paceOf(service string) *pace {
	p := t.paces[service]
	if p == nil {
		p = newPace()
		t.paces[service] = p
	}
	return p
}

// readMS is how long a service's engines read a prompt of so many tokens, in
// milliseconds. The caller holds the mutex.
func (t *Tracker) readMS(service string, tokens int) float64 {
	return float64(tokens) / t.paceOf(service).readPerMS.value
}

// learnReading takes the time of a run's first event. It counts only where no
// other prompt was read before it. The caller holds the mutex.
func (r *Run) learnReading(now time.Time) {
	if !r.alone || r.work.Cached || r.work.Read < leastRead {
		return
	}
	if ms := float64(now.Sub(r.began).Milliseconds()); ms > 0 {
		r.target.tracker.paceOf(r.target.Service).readPerMS.observe(float64(r.work.Read) / ms)
	}
}

// learnWhole takes the time that a whole run took, of which it knows how many
// tokens came out. The caller holds the mutex.
func (r *Run) learnWhole(now time.Time, tokens int) {
	p := r.target.tracker.paceOf(r.target.Service)
	p.wholeMS.observe(float64(now.Sub(r.began).Milliseconds()))
	if tokens > 0 && !r.firstAt.IsZero() {
		p.tokenMS.observe(float64(now.Sub(r.firstAt).Milliseconds()) / float64(tokens))
	}
}

// WholeRun predicts how long a service's engines take for a run, the mean of
// what they took lately.
func (t *Tracker) WholeRun(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.paceOf(service).wholeMS.value * float64(time.Millisecond))
}

// RunTime predicts how long a run of its own takes: its prompt is read, then
// so many tokens come out.
func (t *Tracker) RunTime(service string, read, out int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	ms := t.readMS(service, read) + float64(out)*t.paceOf(service).tokenMS.value
	return time.Duration(ms * float64(time.Millisecond))
}
