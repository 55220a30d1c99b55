package balance

import (
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Work is what one request requires of a target.
type Work struct {
	PrefillTokens int // prompt tokens to prefill before the first event
	MemoryTokens  int // tokens of memory for the whole run
	// Cached says that most of the prompt is expected in the target's prefix cache;
	// Read is the remainder.
	Cached bool
}

// Run is an active request of this node at a target.
type Run struct {
	number      uint64 // identifies the run on this node
	target      *Target
	work        Work
	trace       Trace
	startedAt   time.Time
	solePrefill bool      // no other prefill was pending when it began
	begun       bool      // the first event has arrived
	begunAt     time.Time // when it arrived
	copyHolder  *Target   // target at which the copy is counted
	ended       bool      // End was called
	failedAt    time.Time // when it failed, zero while active
}

// Begin starts tracking a request at the target.
func (t *Target) Begin(w Work, trace Trace) *Run {
	r := &Run{target: t, work: w, trace: trace, startedAt: uptime.Now()}
	t.tracker.mu.Lock()
	r.number = t.tracker.nextRunNumber()
	r.solePrefill = w != (Work{}) && !w.Cached && t.occupancy.pendingPrefills == 0
	if t.runs == nil {
		t.runs = map[*Run]struct{}{} // lazily, as most targets never get one
	}
	t.runs[r] = struct{}{}
	if w != (Work{}) {
		t.tracker.activeRuns[r] = struct{}{}
	}
	r.count(1)
	t.tracker.mu.Unlock()
	if w != (Work{}) {
		t.tracker.onChange()
	}
	return r
}

// count adds or removes the run from the occupancy of its target and of its copy's
// holder. The caller holds the mutex.
func (r *Run) count(sign int) {
	if sign > 0 {
		r.copyHolder = r.target.tracker.byIncarnation[r.trace.Copy]
	}
	r.target.addOccupancy(occupancyOf(r.work.MemoryTokens, r.work.PrefillTokens > 0 && !r.begun), sign)
	r.target.countCopy(r.copyHolder, r.work.MemoryTokens, sign)
}

// countCopy adds or removes a copy of one of the target's runs from the occupancy of
// its holder. The caller holds the mutex.
func (t *Target) countCopy(holder *Target, hold, sign int) {
	if holder != nil && holder.Service == t.Service {
		holder.addOccupancy(occupancy{copyTokens: hold}, sign)
	}
}

// update applies a change that affects count, unless the run has ended: calls that concern
// it may still be under way then. The caller holds the mutex.
func (r *Run) update(change func()) {
	if r.ended {
		change()
		return
	}
	r.count(-1)
	change()
	r.count(1)
}

// FirstEvent records that the target has finished the prefill.
func (r *Run) FirstEvent() {
	r.target.tracker.mu.Lock()
	r.update(func() { r.begun, r.begunAt = true, uptime.Now() })
	if r.solePrefill {
		r.target.observePrefill(r.work.PrefillTokens, r.begunAt.Sub(r.startedAt), r.begunAt)
	}
	r.trace.ReadAt = r.target.incarnation
	r.target.tracker.prompts.record(r.trace.Key, r.target.incarnation, r.begunAt)
	r.target.tracker.mu.Unlock()
	r.target.tracker.onChange()
}

// SetCopy records which target keeps a copy of the run now, and under which name.
func (r *Run) SetCopy(target, name string) {
	r.target.tracker.mu.Lock()
	r.update(func() { r.trace.Copy, r.trace.CopyName = target, name })
	r.target.tracker.mu.Unlock()
	r.target.tracker.onChange()
}

// Begun reports whether the first event has arrived.
func (r *Run) Begun() bool {
	r.target.tracker.mu.Lock()
	defer r.target.tracker.mu.Unlock()
	return r.begun
}

// RunEnd is the outcome of a run.
type RunEnd struct {
	Complete bool // the response was complete
	Tokens   int  // output tokens, 0 if unknown
}

// End stops tracking the request. A run that failed after its first event is remembered,
// if it has a key, for as long as its copy may be kept.
func (r *Run) End(end RunEnd) {
	tracker := r.target.tracker
	tracker.mu.Lock()
	r.count(-1)
	r.ended = true
	delete(r.target.runs, r)
	delete(tracker.activeRuns, r)
	fromStart := r.work.PrefillTokens > 0 || r.work == (Work{}) // rather than from a copy
	if end.Complete && fromStart {
		r.observeDuration(uptime.Now(), end.Tokens)
	}
	tracker.expireFailedRuns(uptime.Now())
	if !end.Complete && r.trace.Key != "" && r.begun {
		r.failedAt = uptime.Now()
		tracker.failedRuns = append(tracker.failedRuns, r)
	}
	tracker.mu.Unlock()
	if r.work != (Work{}) {
		tracker.onChange()
	}
}

// RunReport is the state of a run that nodes exchange.
type RunReport struct {
	Number        uint64        // identifies the run on its node
	Target        string        // its incarnation
	PendingTokens int           // prompt tokens pending when it began; 0 after the first event
	MemoryTokens  int           // tokens of memory
	Age           time.Duration // since it began; after the first event, the time to it
	Trace         Trace
	Failed        bool // it failed: it holds no memory, but its copy may exist
}

// peerReport is a peer's latest report.
type peerReport struct {
	receivedAt      time.Time
	aliveAt         time.Time              // when the peer was last known to be alive
	counted         bool                   // its runs are included in the targets' occupancy
	targets         []*Target              // that have active runs of the peer
	traces          []Trace                // of its runs
	byContent       traceIndex             // the same
	pendingPrefills map[uint64]peerPrefill // of runs that have not begun, by number
}

// peerRuns holds a peer's runs at one target.
type peerRuns struct {
	report      *peerReport
	runs        []RunReport // ages are as of report.receivedAt
	copyHolders []*Target   // targets at which their copies are counted
}

// count adds or removes the runs from the occupancy of their target and of their
// copies' holders. The caller holds the mutex.
func (o *peerRuns) count(at *Target, sign int) {
	var sum occupancy
	for i, s := range o.runs {
		sum.add(occupancyOf(s.MemoryTokens, s.PendingTokens > 0), 1)
		at.countCopy(o.copyHolders[i], s.MemoryTokens, sign)
	}
	at.addOccupancy(sum, sign)
}

// count adds or removes a peer's runs from the occupancy of their targets. The caller
// holds the mutex.
func (t *Tracker) count(node string, report *peerReport, counted bool) {
	if report.counted == counted {
		return
	}
	report.counted = counted
	sign := 1
	if !counted {
		sign = -1
	}
	for _, target := range report.targets {
		if o, ok := target.peerRuns[node]; ok {
			o.count(target, sign)
		}
	}
}

// expirePeers stops counting the runs of peers that have not been heard for
// peerReportTTL, and drops the reports of those not heard for copyTTL. The caller holds
// the mutex.
func (t *Tracker) expirePeers(now time.Time) {
	if now.Before(t.nextPeerExpiry) {
		return
	}
	t.nextPeerExpiry = now.Add(peerReportTTL)
	for node, o := range t.peers {
		switch sinceAlive := now.Sub(o.aliveAt); {
		case sinceAlive > copyTTL:
			t.dropPeer(node)
			continue
		case sinceAlive > peerReportTTL:
			t.count(node, o, false)
		}
		t.scheduleExpiry(o)
	}
}

// scheduleExpiry moves the next expiry check forward to when a peer's report may expire.
// The caller holds the mutex.
func (t *Tracker) scheduleExpiry(o *peerReport) {
	ttl := copyTTL
	if o.counted {
		ttl = peerReportTTL
	}
	if at := o.aliveAt.Add(ttl + 1); at.Before(t.nextPeerExpiry) {
		t.nextPeerExpiry = at
	}
}

// peerReportTTL is how long the runs in a peer's report count as occupancy.
const peerReportTTL = 3 * time.Second

// OnChange sets the function called when this node's runs change.
func (t *Tracker) OnChange(f func()) { t.onChange = f }

// Runs returns this node's active runs with nonzero Work at listed targets, its runs
// that failed within copyTTL and, for copyTTL after RestoreTraces, the restored traces as
// failed runs.
func (t *Tracker) Runs() []RunReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	var all []RunReport
	for r := range t.activeRuns {
		if r.target.hall != nil {
			all = append(all, r.summary(now))
		}
	}
	t.expireFailedRuns(now)
	for _, r := range t.failedRuns {
		all = append(all, RunReport{Number: r.number, Target: r.target.incarnation, Trace: r.trace, Failed: true})
	}
	if now.Sub(t.restoredAt) < copyTTL {
		for _, m := range t.restored {
			all = append(all, RunReport{Number: m.number, Target: m.trace.ReadAt, Trace: m.trace, Failed: true})
		}
	}
	return all
}

func (r *Run) summary(now time.Time) RunReport {
	s := RunReport{Number: r.number, Target: r.target.incarnation, PendingTokens: r.work.PrefillTokens, MemoryTokens: r.work.MemoryTokens, Age: now.Sub(r.startedAt), Trace: r.trace}
	if r.begun {
		s.PendingTokens, s.Age = 0, r.begunAt.Sub(r.startedAt)
	}
	return s
}

// nextRunNumber returns a new run number. The caller holds the mutex.
func (t *Tracker) nextRunNumber() uint64 {
	t.lastRunNumber++
	return t.lastRunNumber
}

// SetPeerRuns replaces a peer's reported runs.
func (t *Tracker) SetPeerRuns(node string, runs []RunReport) {
	byTarget := map[string][]RunReport{}
	now := uptime.Now()
	report := &peerReport{receivedAt: now, aliveAt: now, byContent: traceIndex{}}
	for _, s := range runs {
		if s.Trace.Key != "" {
			report.traces = append(report.traces, s.Trace)
			report.byContent.add(s.Trace)
		}
		if !s.Failed {
			byTarget[s.Target] = append(byTarget[s.Target], s)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.peers[node]
	t.dropPeer(node)
	report.pendingPrefills = t.observePeerPrefills(before, runs, report.receivedAt)
	t.expirePeers(now)
	t.peers[node] = report
	for _, trace := range report.traces {
		t.prompts.record(trace.Key, trace.ReadAt, report.receivedAt)
	}
	for id, runsAt := range byTarget {
		if target := t.byIncarnation[id]; target != nil {
			holders := make([]*Target, len(runsAt))
			for i := range runsAt {
				holders[i] = t.byIncarnation[runsAt[i].Trace.Copy]
			}
			if target.peerRuns == nil {
				target.peerRuns = map[string]peerRuns{}
			}
			target.peerRuns[node] = peerRuns{report: report, runs: runsAt, copyHolders: holders}
			report.targets = append(report.targets, target)
		}
	}
	t.count(node, report, true)
	t.scheduleExpiry(report)
}

// ConfirmPeers records that nodes are alive and that their last reports are still current.
func (t *Tracker) ConfirmPeers(nodes []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	for _, node := range nodes {
		if o := t.peers[node]; o != nil {
			o.aliveAt = now
			t.count(node, o, true)
		}
	}
}

// dropPeer drops a peer's report. The caller holds the mutex.
func (t *Tracker) dropPeer(node string) {
	o := t.peers[node]
	if o == nil {
		return
	}
	t.count(node, o, false)
	for _, target := range o.targets {
		delete(target.peerRuns, node)
	}
	delete(t.peers, node)
}

// pendingPrefills returns the target's known runs with prefills pending. The result is
// valid until the next call. The caller holds the mutex.
func (t *Target) pendingPrefills(now time.Time) []RunReport {
	pending := t.tracker.pendingBuf[:0]
	for r := range t.runs {
		if s := r.summary(now); s.PendingTokens > 0 {
			pending = append(pending, s)
		}
	}
	for _, o := range t.peerRuns {
		age := now.Sub(o.report.receivedAt)
		for _, s := range o.runs {
			if s.PendingTokens > 0 && o.report.counted {
				s.Age += age
				pending = append(pending, s)
			}
		}
	}
	t.tracker.pendingBuf = pending
	return pending
}
