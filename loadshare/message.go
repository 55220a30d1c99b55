package loadshare

import (
	"time"

	"github.com/walnutramp/walnutramp/balance"
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
)

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
