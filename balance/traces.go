package balance

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Trace locates a failed run's state for resumption.
type Trace struct {
	Key      string // identifies the request across repetitions
	Copy     string // incarnation of the target with a copy of the run's memory; empty for none
	CopyName string // name of the copy at that target
	ReadAt   string // incarnation of the target that prefilled the prompt; empty until one has
}

// copyTTL is how long a copy may be kept after its run failed.
const copyTTL = 4 * time.Second

// expireFailedRuns drops failed runs whose copies have expired. The caller holds the mutex.
func (t *Tracker) expireFailedRuns(now time.Time) {
	t.failedRuns = slices.DeleteFunc(t.failedRuns, func(r *Run) bool { return now.Sub(r.failedAt) > copyTTL })
}

// Traces returns the traces of all runs known to this node, its own and its peers'.
func (t *Tracker) Traces() []Trace {
	var all []Trace
	for _, s := range t.Runs() {
		if s.Trace.Key != "" {
			all = append(all, s.Trace)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.peers {
		for _, trace := range o.traces {
			all = append(all, trace)
		}
	}
	for _, n := range t.peerTraces {
		all = append(all, n.trace)
	}
	return all
}

// peerTrace is a trace of a peer's run that was received on its own.
type peerTrace struct {
	trace Trace
	at    time.Time
}

// AddPeerTrace records the trace of a peer's run. It is valid for as long as a copy may be
// kept, unless it is received again.
func (t *Tracker) AddPeerTrace(trace Trace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	for key, n := range t.peerTraces {
		if now.Sub(n.at) > copyTTL {
			delete(t.peerTraces, key)
		}
	}
	t.peerTraces[trace.Key] = peerTrace{trace: trace, at: now}
	t.prompts.record(trace.Key, trace.ReadAt, now)
}

// DropTrace removes the trace of a finished run; the prompt index keeps its entry.
func (t *Tracker) DropTrace(trace Trace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peerTraces[trace.Key].trace.CopyName == trace.CopyName {
		delete(t.peerTraces, trace.Key)
	}
}

// TraceOf returns the trace of a key as known from AddPeerTrace, RestoreTraces and the
// prompt index; false if nothing is known. It does not include copies of this node's
// own runs or of runs that peers reported with SetPeerRuns.
func (t *Tracker) TraceOf(key string) (Trace, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	trace := Trace{Key: key, ReadAt: t.prompts.lookup(key)}
	now := uptime.Now()
	if n, ok := t.peerTraces[key]; ok && now.Sub(n.at) <= copyTTL {
		trace.Copy, trace.CopyName = n.trace.Copy, n.trace.CopyName
	} else if m, ok := t.restored[key]; ok && now.Sub(t.restoredAt)+t.restoredAge < copyTTL {
		trace.Copy, trace.CopyName = m.trace.Copy, m.trace.CopyName
	}
	return trace, trace.ReadAt != "" || trace.Copy != ""
}

// RestoreTraces restores the traces that this node saved before it restarted; age is
// the time since they were saved. Of traces older than copyTTL it omits the copy.
func (t *Tracker) RestoreTraces(traces []Trace, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restored, t.restoredAt, t.restoredAge = map[string]restoredTrace{}, uptime.Now(), age
	for _, trace := range traces {
		if age > copyTTL {
			trace.Copy = ""
		}
		t.restored[trace.Key] = restoredTrace{number: t.nextRunNumber(), trace: trace}
		t.prompts.record(trace.Key, trace.ReadAt, t.restoredAt)
	}
}

// FindCopy returns the copy of a run with a key: of a failed run of this node, else of
// any run that a peer reported, failed or not, else of a trace from AddPeerTrace or
// RestoreTraces. Nil if none is known, or if its target is not available or is suspect.
func (t *Tracker) FindCopy(key string) (at *Target, name string) {
	if key == "" {
		return nil, ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	t.expireFailedRuns(now)
	for _, r := range t.failedRuns {
		if r.trace.Key == key && r.trace.Copy != "" {
			at, name = t.byIncarnation[r.trace.Copy], r.trace.CopyName
		}
	}
	for _, o := range t.peers {
		if now.Sub(o.aliveAt) > copyTTL {
			continue
		}
		if trace, ok := o.traces[key]; ok && at == nil && trace.Copy != "" {
			at, name = t.byIncarnation[trace.Copy], trace.CopyName
		}
	}
	if n, ok := t.peerTraces[key]; ok && at == nil && n.trace.Copy != "" && now.Sub(n.at) <= copyTTL {
		at, name = t.byIncarnation[n.trace.Copy], n.trace.CopyName
	}
	if m, ok := t.restored[key]; ok && at == nil && m.trace.Copy != "" && now.Sub(t.restoredAt)+t.restoredAge < copyTTL {
		at, name = t.byIncarnation[m.trace.Copy], m.trace.CopyName
	}
	if at == nil || !at.available(now) || at.suspect(now) {
		return nil, ""
	}
	return at, name
}

// restoredTrace is a trace from before this node's restart.
type restoredTrace struct {
	number uint64
	trace  Trace
}
