package loadshare

import (
	"bytes"
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/quarantine"
)

// message is one datagram. A full message replaces the sender's previous state; any
// other carries changes to it.
type message struct {
	Sequence uint64 `msgpack:"q"`
	Full     bool   `msgpack:"f,omitempty"`
	DataHall string `msgpack:"h,omitempty"`
	// Runs are the sender's runs: all of them, or those new or changed.
	Runs []run `msgpack:"r,omitempty"`
	// Finished are the numbers of runs that have ended.
	Finished []uint64 `msgpack:"o,omitempty"`
	// Ended are targets that the sender recently found to have terminated.
	Ended []string `msgpack:"e,omitempty"`
	// Suspects are targets whose responses to the sender recently broke off.
	Suspects []string `msgpack:"s,omitempty"`
	// Silent are targets that recently became unresponsive to the sender.
	Silent []string `msgpack:"m,omitempty"`
	// Counts are the sender's requests and retries, by service.
	Counts map[string]balance.Count `msgpack:"n,omitempty"`
	// Crashes are the sender's reports of crashes and of successful runs; see
	// quarantine.Report.
	Crashes []crashReport `msgpack:"z,omitempty"`

	// Disk says that the sender's traces survive a power loss.
	Disk bool `msgpack:"d,omitempty"`
	// WantCrashes asks for the receiver's crash reports and notices of brittle targets. Neither the
	// request nor the reply carries a data hall; otherwise nodes that start together
	// would compute layouts while they know few locations.
	WantCrashes bool `msgpack:"y,omitempty"`
	// WantDataHall asks for the receiver's data hall.
	WantDataHall bool `msgpack:"a,omitempty"`
	// Subscribe subscribes to a feed of the receiver.
	Subscribe *subscribeRequest `msgpack:"w,omitempty"`
	// Feed is a datagram of a relay's feed.
	Feed *feedDatagram `msgpack:"x,omitempty"`
	// Traces are updates to the traces that the receiver stores.
	Traces []traceUpdate `msgpack:"t,omitempty"`
	// Lookup asks for a trace, LookupReply answers.
	Lookup      *lookupRequest `msgpack:"k,omitempty"`
	LookupReply *lookupReply   `msgpack:"g,omitempty"`
	// Borrow asks for a retry from the receiver's budget, BorrowReply answers.
	Borrow      *borrowRequest `msgpack:"b,omitempty"`
	BorrowReply *borrowReply   `msgpack:"l,omitempty"`
	// Permit asks for a permit to send a request to a target with a rate limit,
	// PermitReply answers. Limits are targets' rate limits that have changed.
	Permit      *permitRequest `msgpack:"p,omitempty"`
	PermitReply *permitReply   `msgpack:"u,omitempty"`
	Limits      []limitChange  `msgpack:"v,omitempty"`
	// Reach asks whether the receiver has a path to a service's targets, ReachReply answers.
	Reach      *reachRequest `msgpack:"c,omitempty"`
	ReachReply *reachReply   `msgpack:"i,omitempty"`
	// Lease asks for a slot of a brittle target, LeaseReply answers, LeaseGrant grants one
	// later, LeaseEnd gives it back.
	// Brittle says whether a service's targets are brittle.
	Lease      *leaseRequest   `msgpack:"j,omitempty"`
	LeaseReply *leaseReply     `msgpack:"jr,omitempty"`
	LeaseGrant *leaseGrant     `msgpack:"jg,omitempty"`
	LeaseEnd   *leaseEnd       `msgpack:"je,omitempty"`
	Brittle    []brittleNotice `msgpack:"jb,omitempty"`
	// OriginStore gives the receiver a record of a stream's origin to keep, OriginQuestion
	// asks for one, OriginReply answers both. WantOrigins asks for all records that the
	// sender is to keep, which Origins brings, and OriginTransfer says whether that is all.
	OriginStore    *originStore    `msgpack:"os,omitempty"`
	OriginQuestion *originQuestion `msgpack:"oq,omitempty"`
	OriginReply    *originReply    `msgpack:"or,omitempty"`
	WantOrigins    bool            `msgpack:"ow,omitempty"`
	Origins        []originRecord  `msgpack:"ol,omitempty"`
	OriginTransfer *originTransfer `msgpack:"ot,omitempty"`
}

// isReport reports whether a message carries its sender's runs. Only reports have a
// Sequence; nodes of an earlier version drop messages whose Sequence is 0.
func (m *message) isReport() bool { return m.Sequence > 0 }

// scope selects the nodes whose runs a feed carries.
type scope int

const (
	scopeHall   scope = iota + 1 // nodes of the relay's data hall
	scopeSite                    // all nodes
	scopeRegion                  // nodes of one region, named separately
)

// subscribeRequest subscribes to a feed of a relay, and is repeated to renew the
// subscription.
type subscribeRequest struct {
	Scope  scope  `msgpack:"s"`
	Region string `msgpack:"r,omitempty"` // of scopeRegion
	// Snapshot asks for the full state: none is known, or too much was lost.
	Snapshot bool `msgpack:"w,omitempty"`
	// ResendFrom is the sequence number of the first lost datagram; 0 for none.
	ResendFrom uint64 `msgpack:"f,omitempty"`
}

// feedDatagram is one datagram of a relay's feed. Changes are numbered
// consecutively. The parts of a snapshot, sent to one subscriber, carry the
// sequence number of the newest change.
type feedDatagram struct {
	Scope    scope  `msgpack:"s"`
	Region   string `msgpack:"r,omitempty"` // of scopeRegion
	Sequence uint64 `msgpack:"n"`
	// Heartbeat says that nothing has changed since Sequence.
	Heartbeat bool        `msgpack:"h,omitempty"`
	Part      int         `msgpack:"p,omitempty"`
	Parts     int         `msgpack:"o,omitempty"` // of a snapshot; 0 for changes
	Deltas    []nodeDelta `msgpack:"x,omitempty"`
	// Targets that terminated, broke off or stopped responding; see message.
	Ended    []string `msgpack:"e,omitempty"`
	Suspects []string `msgpack:"b,omitempty"`
	Silent   []string `msgpack:"m,omitempty"`
	// Counts are summed over the nodes of the scope.
	Counts  map[string]balance.Count `msgpack:"c,omitempty"`
	Crashes []crashReport            `msgpack:"z,omitempty"`
}

// nodeDelta is the changes to one node's runs.
type nodeDelta struct {
	//lint:ignore U1000 msgpack reads its tag: fields are encoded by position, without names
	_msgpack struct{} `msgpack:",as_array"`
	Node     uint32   // short name of its address
	Removed  bool     // its runs are no longer known
	Runs     []compactRun
	Finished []uint64
}

// compactRun is the encoding of a run in a feed.
type compactRun struct {
	//lint:ignore U1000 msgpack reads its tag: fields are encoded by position, without names
	_msgpack struct{} `msgpack:",as_array"`
	Number   uint64
	Target   uint32 // short name
	Read     int    // prompt tokens pending when the run began; 0 after the first event
	Hold     int    // tokens of KV cache
	AgeMS    int64  // see balance.RunReport
	Copy     uint32 // short name of the target that holds a copy of its KV cache; 0 for none
}

// traceUpdate adds or replaces the trace of a run, or removes it once the run has
// finished. It encodes a balance.Trace; see there for the fields.
type traceUpdate struct {
	Key      string `msgpack:"k"`
	CopyName string `msgpack:"i,omitempty"`
	Copy     string `msgpack:"c,omitempty"`
	ReadAt   string `msgpack:"r,omitempty"`
	Finished bool   `msgpack:"o,omitempty"`
	// Content and Attempt are its balance.StreamID.
	Content uint64 `msgpack:"s,omitempty"`
	Attempt uint64 `msgpack:"a,omitempty"`
}

func encodeTrace(t balance.Trace) traceUpdate {
	return traceUpdate{Key: t.Key, CopyName: t.CopyName, Copy: t.Copy, ReadAt: t.ReadAt, Content: t.Stream.Content, Attempt: t.Stream.Attempt}
}

func (n traceUpdate) trace() balance.Trace {
	return balance.Trace{Key: n.Key, Stream: balance.StreamID{Content: n.Content, Attempt: n.Attempt}, CopyName: n.CopyName, Copy: n.Copy, ReadAt: n.ReadAt}
}

// crashReport is the encoding of a quarantine.Report; see there for the fields.
type crashReport struct {
	//lint:ignore U1000 msgpack reads its tag: fields are encoded by position, without names
	_msgpack struct{} `msgpack:",as_array"`
	Content  uint64
	Target   uint32 // short name
	Standing int
	AgeMS    int64
	RanMS    int64
	Later    bool
}

func encodeCrashes(crashes []quarantine.Report) []crashReport {
	reports := make([]crashReport, 0, len(crashes))
	for _, n := range crashes {
		reports = append(reports, crashReport{Content: uint64(n.Content), Target: n.Target, Standing: int(n.Standing),
			AgeMS: n.Age.Milliseconds(), RanMS: n.Ran.Milliseconds(), Later: n.Later})
	}
	return reports
}

func decodeCrashes(reports []crashReport) []quarantine.Report {
	crashes := make([]quarantine.Report, 0, len(reports))
	for _, e := range reports {
		crashes = append(crashes, quarantine.Report{Content: quarantine.Fingerprint(e.Content), Target: e.Target,
			Standing: quarantine.Standing(e.Standing), Age: milliseconds(e.AgeMS), Ran: milliseconds(e.RanMS), Later: e.Later})
	}
	return crashes
}

// milliseconds converts a received duration; values out of range are clamped.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}

// lookupRequest asks for the trace of a prompt's key and of a stream.
type lookupRequest struct {
	ID  uint64 `msgpack:"i"` // unique per sender
	Key string `msgpack:"k"`
	// Content and Attempt are the balance.StreamID of the stream.
	Content uint64 `msgpack:"s,omitempty"`
	Attempt uint64 `msgpack:"a,omitempty"`
}

// lookupReply answers a lookupRequest.
type lookupReply struct {
	ID    uint64       `msgpack:"i"`
	Trace *traceUpdate `msgpack:"t,omitempty"` // nil if unknown
}

// run is the encoding of a balance.RunReport; see there for the fields.
type run struct {
	Number uint64 `msgpack:"n"`
	Target string `msgpack:"t"`
	Read   int    `msgpack:"p,omitempty"`
	Hold   int    `msgpack:"h,omitempty"`
	AgeMS  int64  `msgpack:"a,omitempty"`
	// Key, CopyName and Copy are its trace, to resume it after it broke off.
	Key      string `msgpack:"k,omitempty"`
	CopyName string `msgpack:"i,omitempty"`
	Copy     string `msgpack:"c,omitempty"`
	Broken   bool   `msgpack:"b,omitempty"`
	// Content and Attempt are the balance.StreamID of its trace.
	Content uint64 `msgpack:"s,omitempty"`
	Attempt uint64 `msgpack:"q,omitempty"`
}

// Limits that keep a message within one datagram.
const (
	maxDatagram = 16 << 10 // bytes
	maxRuns     = 100
	maxFinished = 300
	maxTargets  = 80 // per list
	maxCrashes  = 120
)

// decode decodes a datagram. It skips through it first, since the decoder allocates
// lists by their declared length, and a corrupt length would exhaust memory.
func decode(datagram []byte) (message, error) {
	var m message
	if err := msgpack.NewDecoder(bytes.NewReader(datagram)).Skip(); err != nil {
		return m, err
	}
	return m, msgpack.Unmarshal(datagram, &m)
}

// encodeRun omits CopyName for a run without a copy.
func encodeRun(r balance.RunReport) run {
	e := run{
		Number: r.Number, Target: r.Target, Read: r.PendingTokens, Hold: r.MemoryTokens, AgeMS: r.Age.Milliseconds(), Broken: r.Failed,
		Key: r.Trace.Key, Content: r.Trace.Stream.Content, Attempt: r.Trace.Stream.Attempt,
	}
	if r.Trace.Copy != "" {
		e.CopyName, e.Copy = r.Trace.CopyName, r.Trace.Copy
	}
	return e
}

func (r run) report() balance.RunReport {
	s := balance.RunReport{
		Number: r.Number, Target: r.Target, PendingTokens: max(0, r.Read), MemoryTokens: max(0, r.Hold),
		Age:   time.Duration(max(0, r.AgeMS)) * time.Millisecond,
		Trace: balance.Trace{Key: r.Key, Stream: balance.StreamID{Content: r.Content, Attempt: r.Attempt}, CopyName: r.CopyName, Copy: r.Copy}, Failed: r.Broken,
	}
	if s.PendingTokens == 0 {
		s.Trace.ReadAt = r.Target
	}
	return s
}
