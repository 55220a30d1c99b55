package balance

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// StreamID identifies a stream over all attempts of its client.
type StreamID struct {
	Content uint64 // hash of the client account and the whole request; 0 for a stream of which no copy is looked up
	Attempt uint64 // hash of the client's attempt that brought the first event; 0 if not known
}

// includes reports whether another stream may be the one that s identifies.
func (s StreamID) includes(other StreamID) bool {
	return s.Content == other.Content && (s.Attempt == 0 || s.Attempt == other.Attempt)
}

// Trace locates a failed run's state for resumption.
type Trace struct {
	Key      string   // identifies the prompt, which streams may share
	Stream   StreamID // to which the copy belongs
	Copy     string   // incarnation of the target with a copy of the run's memory; empty for none
	CopyName string   // name of the copy at that target
	ReadAt   string   // incarnation of the target that prefilled the prompt; empty until one has
}

// traceIndex holds traces by the content of their stream.
type traceIndex map[uint64][]Trace

// add adds a trace, unless it is of no stream.
func (x traceIndex) add(t Trace) {
	if t.Stream.Content != 0 {
		x[t.Stream.Content] = append(x[t.Stream.Content], t)
	}
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
		all = append(all, o.traces...)
	}
	for _, ofContent := range t.peerTraces {
		for _, n := range ofContent {
			all = append(all, n.trace)
		}
	}
	return all
}

// peerTrace is a trace of a peer's run that was received on its own.
type peerTrace struct {
	trace Trace
	at    time.Time
}

// AddPeerTrace records the trace of a peer's run, in place of an earlier one of its stream.
// It is valid for as long as a copy may be kept, unless it is received again.
func (t *Tracker) AddPeerTrace(trace Trace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	for content := range t.peerTraces {
		t.dropPeerTraces(content, func(n peerTrace) bool { return now.Sub(n.at) > copyTTL })
	}
	t.prompts.record(trace.Key, trace.ReadAt, now)
	if content := trace.Stream.Content; content != 0 {
		t.dropPeerTraces(content, func(n peerTrace) bool { return n.trace.Stream == trace.Stream })
		t.peerTraces[content] = append(t.peerTraces[content], peerTrace{trace: trace, at: now})
	}
}

// DropTrace removes the trace of a finished run; the prompt index keeps its entry.
func (t *Tracker) DropTrace(trace Trace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropPeerTraces(trace.Stream.Content, func(n peerTrace) bool {
		return n.trace.Stream == trace.Stream && n.trace.CopyName == trace.CopyName
	})
}

// dropPeerTraces drops the traces of a content that drop selects. The caller holds the mutex.
func (t *Tracker) dropPeerTraces(content uint64, drop func(peerTrace) bool) {
	left := slices.DeleteFunc(t.peerTraces[content], drop)
	if len(left) == 0 {
		delete(t.peerTraces, content)
		return
	}
	t.peerTraces[content] = left
}

// TraceOf returns what is known of a prompt and of a stream's copy from AddPeerTrace,
// RestoreTraces and the prompt index; false if nothing is. It does not include copies of
// this node's own runs or of runs that peers reported with SetPeerRuns.
func (t *Tracker) TraceOf(key string, stream StreamID) (Trace, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	trace := Trace{Key: key, ReadAt: t.prompts.lookup(key)}
	for _, known := range selectStream(stream, t.storedTraces(stream.Content, uptime.Now())) {
		if known.Copy != "" {
			trace.Stream, trace.Copy, trace.CopyName = known.Stream, known.Copy, known.CopyName
			break
		}
	}
	return trace, trace.ReadAt != "" || trace.Copy != ""
}

// restoredTrace is a trace from before this node's restart.
type restoredTrace struct {
	number uint64
	trace  Trace
}

// RestoreTraces restores the traces that this node saved before it restarted; age is
// the time since they were saved. Of traces older than copyTTL it omits the copy.
func (t *Tracker) RestoreTraces(traces []Trace, age time.Duration) {
	type identity struct {
		key    string
		stream StreamID
	}
	latest := map[identity]Trace{}
	for _, trace := range traces {
		if age > copyTTL {
			trace.Copy = ""
		}
		latest[identity{trace.Key, trace.Stream}] = trace
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restored, t.restoredByContent, t.restoredAt, t.restoredAge = nil, traceIndex{}, uptime.Now(), age
	for _, trace := range latest {
		t.restored = append(t.restored, restoredTrace{number: t.nextRunNumber(), trace: trace})
		t.restoredByContent.add(trace)
		t.prompts.record(trace.Key, trace.ReadAt, t.restoredAt)
	}
}

// FindCopy returns the trace of a copy of a stream's memory and the target that holds it: of
// a failed run of this node, else of any run that a peer reported, failed or not, else of a
// trace from AddPeerTrace or RestoreTraces. A stream whose first attempt is not known has a
// copy only if no other stream of its content is known. Nil if there is none, or if its
// target is not available or is suspect.
func (t *Tracker) FindCopy(stream StreamID) (*Target, Trace) {
	if stream.Content == 0 {
		return nil, Trace{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	for _, trace := range selectStream(stream, t.knownTraces(stream.Content, now)) {
		if trace.Copy == "" {
			continue
		}
		at := t.byIncarnation[trace.Copy]
		if at == nil || !at.available(now) || at.suspect(now) {
			return nil, Trace{}
		}
		return at, trace
	}
	return nil, Trace{}
}

// selectStream returns the traces of a stream; none if its attempt is not known and they may
// be of several streams.
func selectStream(stream StreamID, traces []Trace) []Trace {
	var selected []Trace
	for _, trace := range traces {
		if !stream.includes(trace.Stream) {
			continue
		}
		if trace.Stream.Attempt == 0 || len(selected) > 0 && selected[0].Stream != trace.Stream {
			return nil
		}
		selected = append(selected, trace)
	}
	return selected
}

// knownTraces returns all traces of the streams of a content, in the order in which their
// copies are used. The caller holds the mutex.
func (t *Tracker) knownTraces(content uint64, now time.Time) []Trace {
	var all []Trace
	t.expireFailedRuns(now)
	for _, r := range slices.Backward(t.failedRuns) {
		if r.trace.Stream.Content == content {
			all = append(all, r.trace)
		}
	}
	for _, o := range t.peers {
		if now.Sub(o.aliveAt) <= copyTTL {
			all = append(all, o.byContent[content]...)
		}
	}
	all = append(all, t.storedTraces(content, now)...)
	for r := range t.activeRuns {
		if r.trace.Stream.Content == content {
			all = append(all, Trace{Stream: r.trace.Stream}) // its copy is in use
		}
	}
	return all
}

// storedTraces returns the traces of the streams of a content from AddPeerTrace and
// RestoreTraces. The caller holds the mutex.
func (t *Tracker) storedTraces(content uint64, now time.Time) []Trace {
	var all []Trace
	for _, n := range t.peerTraces[content] {
		if now.Sub(n.at) <= copyTTL {
			all = append(all, n.trace)
		}
	}
	if now.Sub(t.restoredAt)+t.restoredAge < copyTTL {
		all = append(all, t.restoredByContent[content]...)
	}
	return all
}
