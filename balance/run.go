package balance

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Work is what one request asks of a target.
type Work struct {
	Read int // prompt tokens that the target reads before the first event
	Hold int // tokens of memory that the run takes up
	// Cached says that most of the prompt is held to be in the target's cache;
	// Read is what is left.
	Cached bool
}

// Trace is how a run is found again after it broke off.
type Trace struct {
	Key      string // names the request, however often it comes
	Copy     string // life of the target that keeps a copy of the run's memory; empty for none
	CopyName string // by which that target is told to go on from the copy
	ReadAt   string // life of the target that has read the prompt; empty until one has
}

// Run is one request of this node under way at a target.
type Run struct {
	number  uint64 // names the run among this node's
	target  *Target
	work    Work
	trace   Trace
	began   time.Time
	alone   bool      // no other prompt was to be read when it began
	first   bool      // its first event has come
	firstAt time.Time // when that was
	holder  *Target   // that was counted as keeping the copy
	broke   time.Time // when it broke off, zero while it is under way
}

// Begin counts a request in.
func (t *Target) Begin(w Work, trace Trace) *Run {
	r := &Run{target: t, work: w, trace: trace, began: uptime.Now()}
	t.tracker.mu.Lock()
	r.number = t.tracker.nextNumber()
	r.alone = w != (Work{}) && !w.Cached && t.taken.unread == 0
	if t.runs == nil {
		t.runs = map[*Run]struct{}{} // most of many targets never get one
	}
	t.runs[r] = struct{}{}
	if w != (Work{}) {
		t.tracker.running[r] = struct{}{}
	}
	r.count(1)
	t.tracker.mu.Unlock()
	if w != (Work{}) {
		t.tracker.changed()
	}
	return r
}

// count counts the run in at its target and at the one that keeps its copy, or out. The
// caller holds the mutex.
func (r *Run) count(sign int) {
	if sign > 0 {
		r.holder = r.target.tracker.byLife[r.trace.Copy]
	}
	r.target.occupy(occupancyOf(r.work.Hold, r.work.Read > 0 && !r.first), sign)
	r.target.countCopy(r.holder, r.work.Hold, sign)
}

// countCopy counts a copy of a run of the target in at its holder, or out. The caller
// holds the mutex.
func (t *Target) countCopy(holder *Target, hold, sign int) {
	if holder != nil && holder.Service == t.Service {
		holder.occupy(occupancy{copies: hold}, sign)
	}
}

// alter changes what the run is counted by. The caller holds the mutex.
func (r *Run) alter(change func()) {
	r.count(-1)
	change()
	r.count(1)
}

// FirstEvent notes that the target has read the prompt.
func (r *Run) FirstEvent() {
	r.target.tracker.mu.Lock()
	r.alter(func() { r.first, r.firstAt = true, uptime.Now() })
	if r.alone {
		r.target.learnReading(r.work.Read, r.firstAt.Sub(r.began), r.firstAt)
	}
	r.trace.ReadAt = r.target.life
	r.target.tracker.read.note(r.trace.Key, r.target.life, r.firstAt)
	r.target.tracker.mu.Unlock()
	r.target.tracker.changed()
}

// SetCopy notes that another target keeps a copy of the run now, and under
// which name.
func (r *Run) SetCopy(target, name string) {
	r.target.tracker.mu.Lock()
	r.alter(func() { r.trace.Copy, r.trace.CopyName = target, name })
	r.target.tracker.mu.Unlock()
	r.target.tracker.changed()
}

// Begun reports whether the first event has come.
func (r *Run) Begun() bool {
	r.target.tracker.mu.Lock()
	defer r.target.tracker.mu.Unlock()
	return r.first
}

// RunEnd says how a run ended.
type RunEnd struct {
	Whole  bool // with its whole answer
	Tokens int  // that came out, 0 if that is not known
}

// End counts the request out. A run that broke off is remembered for as long
// as its copy may be kept.
func (r *Run) End(how RunEnd) {
	tracker := r.target.tracker
	tracker.mu.Lock()
	r.count(-1)
	delete(r.target.runs, r)
	delete(tracker.running, r)
	fromStart := r.work.Read > 0 || r.work == (Work{}) // and not from a copy
	if how.Whole && fromStart {
		r.learnWhole(uptime.Now(), how.Tokens)
	}
	tracker.forgetBroken(uptime.Now())
	if !how.Whole && r.trace.Key != "" && r.first {
		r.broke = uptime.Now()
		tracker.broken = append(tracker.broken, r)
	}
	tracker.mu.Unlock()
	if r.work != (Work{}) {
		tracker.changed()
	}
}

// copyLife is how long a copy may still be kept after its run broke off.
const copyLife = 4 * time.Second

// forgetBroken drops runs whose copies are gone. The caller holds the mutex.
func (t *Tracker) forgetBroken(now time.Time) {
	t.broken = slices.DeleteFunc(t.broken, func(r *Run) bool { return now.Sub(r.broke) > copyLife })
}

// Shared is what nodes tell each other of a run.
type Shared struct {
	Number uint64        // names the run among those of its node
	Target string        // its life
	Read   int           // tokens still to be read when it began; 0 once the first event has come
	Hold   int           // tokens of memory
	Age    time.Duration // since it began; once the first event has come, how long that took
	Trace  Trace
	Broken bool // it broke off: it holds nothing, but its copy may be there
}

// sharedRuns is what another node told.
type sharedRuns struct {
	at      time.Time         // when it told them
	heard   time.Time         // when it was last known to be there
	counted bool              // its runs count at their targets
	targets []*Target         // at which it has runs under way
	traces  map[string]Trace  // of runs, by key
	prompts map[uint64]prompt // of runs that have not begun
}

// otherRuns are another node's runs at one target.
type otherRuns struct {
	told    *sharedRuns
	runs    []Shared  // their ages are as of told.at
	holders []*Target // that were counted as keeping their copies
}

// count counts the runs in at their target and at those that keep their copies, or out.
// The caller holds the mutex.
func (o *otherRuns) count(at *Target, sign int) {
	var sum occupancy
	for i, s := range o.runs {
		sum.add(occupancyOf(s.Hold, s.Read > 0), 1)
		at.countCopy(o.holders[i], s.Hold, sign)
	}
	at.occupy(sum, sign)
}

// count counts another node's runs in at their targets, or out. The caller holds the
// mutex.
func (t *Tracker) count(node string, told *sharedRuns, counted bool) {
	if told.counted == counted {
		return
	}
	told.counted = counted
	sign := 1
	if !counted {
		sign = -1
	}
	for _, target := range told.targets {
		if o, ok := target.others[node]; ok {
			o.count(target, sign)
		}
	}
}

// forgetSilentNodes lets the runs of nodes that are silent for long count no more. The
// caller holds the mutex.
func (t *Tracker) forgetSilentNodes(now time.Time) {
	if now.Before(t.silentAt) {
		return
	}
	t.silentAt = now.Add(sharedLife)
	for node, o := range t.others {
		switch silent := now.Sub(o.heard); {
		case silent > copyLife:
			t.forgetOther(node)
			continue
		case silent > sharedLife:
			t.count(node, o, false)
		}
		t.noteSilentAt(o)
	}
}

// noteSilentAt has a node's word looked at again when it may have run out. The caller
// holds the mutex.
func (t *Tracker) noteSilentAt(o *sharedRuns) {
	life := copyLife
	if o.counted {
		life = sharedLife
	}
	if at := o.heard.Add(life + 1); at.Before(t.silentAt) {
		t.silentAt = at
	}
}

// sharedLife is how long another node's word counts.
const sharedLife = 3 * time.Second

// OnChange sets what is called when this node's runs change.
func (t *Tracker) OnChange(f func()) { t.changed = f }

// Runs returns this node's runs that ask anything of their targets.
func (t *Tracker) Runs() []Shared {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	var all []Shared
	for r := range t.running {
		if r.target.hall != nil {
			all = append(all, r.shared(now))
		}
	}
	t.forgetBroken(now)
	for _, r := range t.broken {
		all = append(all, Shared{Number: r.number, Target: r.target.life, Trace: r.trace, Broken: true})
	}
	if now.Sub(t.remembered) < copyLife {
		for _, m := range t.memory {
			all = append(all, Shared{Number: m.number, Target: m.trace.ReadAt, Trace: m.trace, Broken: true})
		}
	}
	return all
}

// Traces returns how every run is found again that this node knows of, its own
// and other nodes'.
func (t *Tracker) Traces() []Trace {
	var all []Trace
	for _, s := range t.Runs() {
		if s.Trace.Key != "" {
			all = append(all, s.Trace)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.others {
		for _, trace := range o.traces {
			all = append(all, trace)
		}
	}
	for _, n := range t.named {
		all = append(all, n.trace)
	}
	return all
}

// namedTrace is a trace of another node's run that this node was told of by
// itself.
type namedTrace struct {
	trace Trace
	at    time.Time
}

// NoteTrace takes the trace of another node's run. It counts for as long as a
// copy may be kept, unless it is told again.
func (t *Tracker) NoteTrace(trace Trace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	for key, n := range t.named {
		if now.Sub(n.at) > copyLife {
			delete(t.named, key)
		}
	}
	t.named[trace.Key] = namedTrace{trace: trace, at: now}
	t.read.note(trace.Key, trace.ReadAt, now)
}

// DropTrace forgets the trace of a run that is over; where the prompt was read
// is kept.
func (t *Tracker) DropTrace(trace Trace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.named[trace.Key].trace.CopyName == trace.CopyName {
		delete(t.named, trace.Key)
	}
}

// TraceOf returns what is known of the runs that a key names; false for
// nothing.
func (t *Tracker) TraceOf(key string) (Trace, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	trace := Trace{Key: key, ReadAt: t.read.of(key)}
	now := uptime.Now()
	if n, ok := t.named[key]; ok && now.Sub(n.at) <= copyLife {
		trace.Copy, trace.CopyName = n.trace.Copy, n.trace.CopyName
	} else if m, ok := t.memory[key]; ok && now.Sub(t.remembered)+t.memoryAge < copyLife {
		trace.Copy, trace.CopyName = m.trace.Copy, m.trace.CopyName
	}
	return trace, trace.ReadAt != "" || trace.Copy != ""
}

// Remember takes the traces that this node knew before it was started again,
// and how long ago that was.
func (t *Tracker) Remember(traces []Trace, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.memory, t.remembered, t.memoryAge = map[string]memory{}, uptime.Now(), age
	for _, trace := range traces {
		if age > copyLife {
			trace.Copy = ""
		}
		t.memory[trace.Key] = memory{number: t.nextNumber(), trace: trace}
		t.read.note(trace.Key, trace.ReadAt, t.remembered)
	}
}

// FindCopy returns the copy of a run of the request that a key names, which
// broke off here or at another node, or whose node fell silent. Nil if none
// is known at a target that takes work.
func (t *Tracker) FindCopy(key string) (at *Target, name string) {
	if key == "" {
		return nil, ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	t.forgetBroken(now)
	for _, r := range t.broken {
		if r.trace.Key == key && r.trace.Copy != "" {
			at, name = t.byLife[r.trace.Copy], r.trace.CopyName
		}
	}
	for _, o := range t.others {
		if now.Sub(o.heard) > copyLife {
			continue
		}
		if trace, ok := o.traces[key]; ok && at == nil && trace.Copy != "" {
			at, name = t.byLife[trace.Copy], trace.CopyName
		}
	}
	if n, ok := t.named[key]; ok && at == nil && n.trace.Copy != "" && now.Sub(n.at) <= copyLife {
		at, name = t.byLife[n.trace.Copy], n.trace.CopyName
	}
	if m, ok := t.memory[key]; ok && at == nil && m.trace.Copy != "" && now.Sub(t.remembered)+t.memoryAge < copyLife {
		at, name = t.byLife[m.trace.Copy], m.trace.CopyName
	}
	if at == nil || !at.open(now) || at.suspect(now) {
		return nil, ""
	}
	return at, name
}

func (r *Run) shared(now time.Time) Shared {
	s := Shared{Number: r.number, Target: r.target.life, Read: r.work.Read, Hold: r.work.Hold, Age: now.Sub(r.began), Trace: r.trace}
	if r.first {
		s.Read, s.Age = 0, r.firstAt.Sub(r.began)
	}
	return s
}

// memory is a trace from before this node's start.
type memory struct {
	number uint64
	trace  Trace
}

// nextNumber names a run. The caller holds the mutex.
func (t *Tracker) nextNumber() uint64 {
	t.numbers++
	return t.numbers
}

// SetOthers takes another node's runs in place of what it told before.
func (t *Tracker) SetOthers(node string, runs []Shared) {
	byTarget := map[string][]Shared{}
	now := uptime.Now()
	told := &sharedRuns{at: now, heard: now, traces: map[string]Trace{}}
	for _, s := range runs {
		if s.Trace.Key != "" {
			told.traces[s.Trace.Key] = s.Trace
		}
		if !s.Broken {
			byTarget[s.Target] = append(byTarget[s.Target], s)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.others[node]
	t.forgetOther(node)
	told.prompts = t.learnFromOthers(before, runs, told.at)
	t.forgetSilentNodes(now)
	t.others[node] = told
	for key, trace := range told.traces {
		t.read.note(key, trace.ReadAt, told.at)
	}
	for id, of := range byTarget {
		if target := t.byLife[id]; target != nil {
			holders := make([]*Target, len(of))
			for i := range of {
				holders[i] = t.byLife[of[i].Trace.Copy]
			}
			if target.others == nil {
				target.others = map[string]otherRuns{}
			}
			target.others[node] = otherRuns{told: told, runs: of, holders: holders}
			told.targets = append(told.targets, target)
		}
	}
	t.count(node, told, true)
	t.noteSilentAt(told)
}

// StillThere notes that nodes are there, whose runs are as they told last.
func (t *Tracker) StillThere(nodes []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	for _, node := range nodes {
		if o := t.others[node]; o != nil {
			o.heard = now
			t.count(node, o, true)
		}
	}
}

// forgetOther drops what another node told. The caller holds the mutex.
func (t *Tracker) forgetOther(node string) {
	o := t.others[node]
	if o == nil {
		return
	}
	t.count(node, o, false)
	for _, target := range o.targets {
		delete(target.others, node)
	}
	delete(t.others, node)
}

// unreadRuns returns the runs known at a target whose prompts are still to be read. They
// are valid until the next call. The caller holds the mutex.
func (t *Target) unreadRuns(now time.Time) []Shared {
	unread := t.tracker.unread[:0]
	for r := range t.runs {
		if s := r.shared(now); s.Read > 0 {
			unread = append(unread, s)
		}
	}
	for _, o := range t.others {
		age := now.Sub(o.told.at)
		for _, s := range o.runs {
			if s.Read > 0 && o.told.counted {
				s.Age += age
				unread = append(unread, s)
			}
		}
	}
	t.tracker.unread = unread
	return unread
}
