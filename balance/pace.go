package balance

import (
	"math"
	"time"
)

// How fast the engines of a service work is learned from the runs of this
// node, and how fast they read from other nodes' as well. It is forgotten when
// the configuration of the engines changes.

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
	// speedHalfLife is the time in which what is known of one target's speed
	// beside its peers counts half: faults of a server pass in seconds.
	speedHalfLife = 10 * time.Second
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

// readMS is how long the target reads a prompt of so many tokens, in
// milliseconds. The caller holds the mutex.
func (t *Target) readMS(tokens int, now time.Time) float64 {
	return t.tracker.readMS(t.Service, tokens) / t.relativeSpeed(now)
}

// relativeSpeed is how fast the target reads beside its peers, 1 where that is
// not known. A target that was slow is held to become like its peers in time,
// so that it is tried again. The caller holds the mutex.
func (t *Target) relativeSpeed(now time.Time) float64 {
	if t.speed.seen == 0 {
		return 1
	}
	halvings := float64(now.Sub(t.speedAt)) / float64(speedHalfLife)
	return math.Exp2(math.Log2(t.speed.value) * math.Exp2(-halvings))
}

// learnReading takes how long the target took to read a prompt before which it
// had none to read. The caller holds the mutex.
func (t *Target) learnReading(tokens int, took time.Duration, now time.Time) {
	ms := float64(took.Milliseconds())
	if tokens < leastRead || ms <= 0 {
		return
	}
	perMS := float64(tokens) / ms
	pace := t.tracker.paceOf(t.Service)
	pace.readPerMS.observe(perMS)
	relative := perMS / pace.readPerMS.value
	if t.speed.seen == 0 {
		t.speed.value = 1
	} else {
		t.speed.value = t.relativeSpeed(now)
	}
	t.speed.observe(relative)
	t.speedAt = now
}

// prompt is another node's run that had not begun when it was told.
type prompt struct {
	alone bool // no other prompt was to be read there when it was first told
	read  int
}

// wholePrompt reports whether a run that another node told of has its whole
// prompt to read, and none of it in a cache: it takes up little more.
func (s *Shared) wholePrompt() bool { return 2*s.Read >= s.Hold }

// learnFromOthers takes what another node's runs show of the targets' speed:
// those that have begun since the node told them last. It returns those that
// still have not. The caller holds the mutex, and has not taken the runs yet.
func (t *Tracker) learnFromOthers(before *sharedRuns, runs []Shared, now time.Time) map[uint64]prompt {
	waiting := map[uint64]prompt{}
	unread := map[string]int{} // prompts by target
	for _, s := range runs {
		if s.Read > 0 {
			unread[s.Target]++
		}
	}
	for _, s := range runs {
		target := t.byLife[s.Target]
		if target == nil || s.Broken {
			continue
		}
		var known bool
		var p prompt
		if before != nil {
			p, known = before.prompts[s.Number]
		}
		switch {
		case s.Read == 0 && known && p.alone:
			target.learnReading(p.read, s.Age, now)
		case s.Read > 0 && known:
			waiting[s.Number] = p
		case s.Read > 0:
			alone := unread[s.Target] == 1 && s.wholePrompt() && target.taken.unread == 0
			waiting[s.Number] = prompt{alone: alone, read: s.Read}
		}
	}
	return waiting
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

// RunTime predicts how long a run takes that nothing delays more than usual: its
// prompt is read, then so many tokens come out.
func (t *Tracker) RunTime(service string, read, out int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	ms := t.readMS(service, read) + float64(out)*t.paceOf(service).tokenMS.value
	return time.Duration(ms * float64(time.Millisecond))
}
