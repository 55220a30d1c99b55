package loadshare

import (
	"bytes"
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/quarantine"
)

// message is one datagram. A full one replaces all that its sender told
// before; any other tells what has changed since.
type message struct {
	Sequence uint64 `msgpack:"q"`
	Full     bool   `msgpack:"f,omitempty"`
	DataHall string `msgpack:"h,omitempty"`
	// Runs are the sender's runs: all, or those that are new or changed.
	Runs []run `msgpack:"r,omitempty"`
	// Over are the numbers of runs that have ended.
	Over []uint64 `msgpack:"o,omitempty"`
	// Ended are targets that the sender lately found to have ended.
	Ended []string `msgpack:"e,omitempty"`
	// Suspects are targets that lately broke off to the sender.
	Suspects []string `msgpack:"s,omitempty"`
	// Silent are targets that just now fell silent to the sender.
	Silent []string `msgpack:"m,omitempty"`
	// Counts are the sender's requests and repeats, by service.
	Counts map[string]balance.Count `msgpack:"n,omitempty"`
	// Ends are the sender's notes of targets that ended under requests.
	Ends []endNote `msgpack:"z,omitempty"`

	// Disk says that the sender keeps traces over a loss of power.
	Disk bool `msgpack:"d,omitempty"`
	// AsksEnds wants to be told the ends that the receiver knows of. It says nothing
	// of where its sender stands, nor does the answer: nodes that start together
	// would hold what few of them told for the whole layout.
	AsksEnds bool `msgpack:"y,omitempty"`
	// Asks wants to be told the receiver's data hall.
	Asks bool `msgpack:"a,omitempty"`
	// Subscribe asks the receiver for its feed.
	Subscribe *subscribe `msgpack:"w,omitempty"`
	// Feed is part of a relay's feed.
	Feed *feedPart `msgpack:"x,omitempty"`
	// Traces are those of the sender's runs that the receiver keeps.
	Traces []traceNote `msgpack:"t,omitempty"`
	// Lookup asks for a trace, Found answers.
	Lookup *lookup `msgpack:"k,omitempty"`
	Found  *found  `msgpack:"g,omitempty"`
	// Borrow asks for a repeat of the receiver's, Lent answers.
	Borrow *borrow `msgpack:"b,omitempty"`
	Lent   *lent   `msgpack:"l,omitempty"`
}

// report says whether a message tells of its sender's runs. Only these are
// numbered by Sequence; nodes of an earlier version drop all others by it.
func (m *message) report() bool { return m.Sequence > 0 }

// scope says whose runs a feed tells.
type scope int

const (
	scopeHall   scope = iota + 1 // nodes of the relay's data hall
	scopeSite                    // all nodes
	scopeRegion                  // nodes of one region, which is named besides
)

// subscribe asks a relay for a feed. It is sent again and again.
type subscribe struct {
	Scope  scope  `msgpack:"s"`
	Region string `msgpack:"r,omitempty"` // of scopeRegion
	// Whole wants everything told: nothing is known, or too much was lost.
	Whole bool `msgpack:"w,omitempty"`
	// From is the number of the first datagram that was lost; 0 for none.
	From uint64 `msgpack:"f,omitempty"`
}

// feedPart is one datagram of a relay's feed. Those that tell changes are
// numbered one after the other. Those that tell everything to one subscriber
// carry the number of the newest change and count their own parts.
type feedPart struct {
	Scope  scope  `msgpack:"s"`
	Region string `msgpack:"r,omitempty"` // of scopeRegion
	Number uint64 `msgpack:"n"`
	// Beat says that nothing has changed since that number.
	Beat  bool `msgpack:"h,omitempty"`
	Part  int  `msgpack:"p,omitempty"`
	Parts int  `msgpack:"o,omitempty"` // 0 for changes
	// Sections are the runs of nodes.
	Sections []section `msgpack:"x,omitempty"`
	// Targets that ended, broke off and fell silent; see message.
	Ended    []string `msgpack:"e,omitempty"`
	Suspects []string `msgpack:"b,omitempty"`
	Silent   []string `msgpack:"m,omitempty"`
	// Counts are summed over the nodes of the scope.
	Counts map[string]balance.Count `msgpack:"c,omitempty"`
	// Ends are notes of targets that ended under requests.
	Ends []endNote `msgpack:"z,omitempty"`
}

// section is what changed of one node's runs.
type section struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names
	_msgpack struct{} `msgpack:",as_array"`
	Node     uint32   // short name of its address
	Gone     bool     // nothing is known of its runs any more
	Runs     []shortRun
	Over     []uint64
}

// shortRun is a run in a feed.
type shortRun struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names
	_msgpack struct{} `msgpack:",as_array"`
	Number   uint64
	Target   uint32 // short name, as below
	Read     int    // tokens still to be read; 0 once the first event has come
	Hold     int    // tokens of memory
	AgeMS    int64  // see balance.Shared
	Copy     uint32 // target that keeps a copy; 0 for none
}

// traceNote tells of a run's trace, or that the run is over.
type traceNote struct {
	Key      string `msgpack:"k"`
	CopyName string `msgpack:"i,omitempty"`
	Copy     string `msgpack:"c,omitempty"`
	ReadAt   string `msgpack:"r,omitempty"`
	Over     bool   `msgpack:"o,omitempty"`
}

func encodeTrace(t balance.Trace) traceNote {
	return traceNote{Key: t.Key, CopyName: t.CopyName, Copy: t.Copy, ReadAt: t.ReadAt}
}

func (n traceNote) trace() balance.Trace {
	return balance.Trace{Key: n.Key, CopyName: n.CopyName, Copy: n.Copy, ReadAt: n.ReadAt}
}

// endNote is a note of package quarantine, in some 25 bytes.
type endNote struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names
	_msgpack struct{} `msgpack:",as_array"`
	Content  uint64
	Target   uint32 // short name
	Standing int
	AgeMS    int64
	RanMS    int64
	Later    bool
}

func encodeEnds(notes []quarantine.Note) []endNote {
	ends := make([]endNote, 0, len(notes))
	for _, n := range notes {
		ends = append(ends, endNote{Content: uint64(n.Content), Target: n.Target, Standing: int(n.Standing),
			AgeMS: n.Age.Milliseconds(), RanMS: n.Ran.Milliseconds(), Later: n.Later})
	}
	return ends
}

func decodeEnds(ends []endNote) []quarantine.Note {
	notes := make([]quarantine.Note, 0, len(ends))
	for _, e := range ends {
		notes = append(notes, quarantine.Note{Content: quarantine.Fingerprint(e.Content), Target: e.Target,
			Standing: quarantine.Standing(e.Standing), Age: milliseconds(e.AgeMS), Ran: milliseconds(e.RanMS), Later: e.Later})
	}
	return notes
}

// milliseconds reads a time that another node told; one that can't be is none.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}

// lookup asks a keeper of traces for that of a key.
type lookup struct {
	ID  uint64 `msgpack:"i"` // names the question among the asker's
	Key string `msgpack:"k"`
}

// found answers a lookup.
type found struct {
	ID    uint64     `msgpack:"i"`
	Trace *traceNote `msgpack:"t,omitempty"` // nil if none is known
}

type run struct {
	Number uint64 `msgpack:"n"`
	Target string `msgpack:"t"`
	Read   int    `msgpack:"p,omitempty"`
	Hold   int    `msgpack:"h,omitempty"`
	AgeMS  int64  `msgpack:"a,omitempty"`
	// How the run is found again after it broke off.
	Key      string `msgpack:"k,omitempty"`
	CopyName string `msgpack:"i,omitempty"`
	Copy     string `msgpack:"c,omitempty"`
	Broken   bool   `msgpack:"b,omitempty"`
}

// Bounds that keep a message within a datagram.
const (
	maxDatagram = 16 << 10 // bytes
	maxRuns     = 100
	maxOver     = 300
	maxTargets  = 80 // that ended, or are suspects
	maxEnds     = 120
)

// decode reads a datagram. It is passed over once before, since its lists are
// held to be as long as they say they are: a garbled one would take up all
// memory.
func decode(datagram []byte) (message, error) {
	var m message
	if err := msgpack.NewDecoder(bytes.NewReader(datagram)).Skip(); err != nil {
		return m, err
	}
	return m, msgpack.Unmarshal(datagram, &m)
}

// encodeRun leaves out which copy a run without one has.
func encodeRun(r balance.Shared) run {
	e := run{
		Number: r.Number, Target: r.Target, Read: r.Read, Hold: r.Hold, AgeMS: r.Age.Milliseconds(), Broken: r.Broken,
		Key: r.Trace.Key,
	}
	if r.Trace.Copy != "" {
		e.CopyName, e.Copy = r.Trace.CopyName, r.Trace.Copy
	}
	return e
}

func (r run) shared() balance.Shared {
	s := balance.Shared{
		Number: r.Number, Target: r.Target, Read: max(0, r.Read), Hold: max(0, r.Hold),
		Age:   time.Duration(max(0, r.AgeMS)) * time.Millisecond,
		Trace: balance.Trace{Key: r.Key, CopyName: r.CopyName, Copy: r.Copy}, Broken: r.Broken,
	}
	if s.Read == 0 {
		s.Trace.ReadAt = r.Target
	}
	return s
}
