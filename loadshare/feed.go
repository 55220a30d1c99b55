package loadshare

import (
	"time"

	"github.com/walnutramp/walnutramp/balance"
)

// Times of a subscription.
const (
	renewEvery = 800 * time.Millisecond // of a subscription that is in order
	// askLost is the pause before lost datagrams are asked for again; it doubles
	// with each question.
	askLost = 60 * time.Millisecond
	// askWhole is the same for everything there is: some 20 kB on a site of 300
	// nodes, which many may want at once and get one after the other.
	askWhole = time.Second
	// lostFor is how long datagrams may be lost before everything is asked for.
	lostFor = time.Second
	// feedSilence is how long a feed may be silent before the next relay is
	// asked: three heartbeats, of which two may be lost.
	feedSilence = 500 * time.Millisecond
	// missedTime is how long a relay that fell silent is asked last.
	missedTime = 3 * time.Second
)

// feed is what one relay tells this node.
type feed struct {
	scope  scope
	hall   string // of the relay; empty for a region's
	region string // that scopeRegion tells of
	source string // its address, empty while there is none

	asked  time.Time // when it was asked last
	heard  time.Time // when it was heard last
	since  time.Time // when this source was chosen
	synced bool      // everything was told, and since then all changes up to number
	stale  bool      // everything is to be told again; changes still hold
	lacks  time.Time // since when a datagram is missing; zero for none
	asks   int       // for what is missing
	number uint64    // of its newest datagram
	part   int       // of those that tell everything: how many came
	nodes  map[uint32]bool
	fresh  map[uint32]bool // told so far of everything
	// missed notes when a source fell silent, by address. A relay that can't tell
	// of one region may be sound for all else, so a region's feed has its own notes.
	missed map[string]time.Time
	counts map[string]balance.Count
}

func newFeed(s scope, hall string) *feed {
	return &feed{scope: s, hall: hall, nodes: map[uint32]bool{}}
}

// newRegionFeed returns the feed that tells of a region.
func newRegionFeed(region string) *feed {
	f := newFeed(scopeRegion, "")
	f.region, f.missed = region, map[string]time.Time{}
	return f
}

// current reports whether all that the source tells is known.
func (f *feed) current(now time.Time) bool { return f.synced && now.Sub(f.heard) <= feedSilence }

// choose takes the first of the sources that did not fall silent lately, and
// reports whether that is another one than before.
func (f *feed) choose(sources []string, missed map[string]time.Time, now time.Time) bool {
	if f.source != "" && now.Sub(later(f.heard, f.since)) > feedSilence {
		missed[f.source] = now
		f.synced = false
	}
	best := ""
	for _, s := range sources {
		if now.Sub(missed[s]) > missedTime {
			best = s
			break
		}
	}
	if best == "" && len(sources) > 0 {
		best = oldest(sources, missed)
	}
	if best == f.source {
		return false
	}
	f.source, f.since, f.synced, f.asked = best, now, false, time.Time{}
	return true
}

// oldest returns the source that fell silent first.
func oldest(sources []string, missed map[string]time.Time) string {
	best := sources[0]
	for _, s := range sources {
		if missed[s].Before(missed[best]) {
			best = s
		}
	}
	return best
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// due reports whether the source is to be asked now.
func (f *feed) due(now time.Time) bool {
	if f.source == "" {
		return false
	}
	pause := renewEvery
	switch {
	case !f.synced || f.stale:
		pause = askWhole
	case !f.lacks.IsZero():
		pause = askLost << min(f.asks, longestBackoff)
	}
	return now.Sub(f.asked) >= pause
}

// longestBackoff bounds how often a pause is doubled.
const longestBackoff = 3

// question returns what the source is asked now.
func (f *feed) question(now time.Time) subscribe {
	f.asked = now
	q := subscribe{Scope: f.scope, Region: f.region, Whole: !f.synced || f.stale}
	if !q.Whole && !f.lacks.IsZero() {
		q.From = f.number + 1
		f.asks++
	}
	return q
}

// take takes a datagram of the source. It returns the sections to apply, in
// their order; ask says that the source is to be asked at once for what is
// missing.
func (f *feed) take(p *feedPart, now time.Time) (sections []section, ask bool) {
	f.heard = now
	if p.Counts != nil {
		f.counts = p.Counts
	}
	if p.Parts > 0 {
		return f.takeWhole(p), false
	}
	if !f.synced || p.Number <= f.number {
		return nil, false // everything was asked for, or it came late
	}
	if p.Beat || p.Number != f.number+1 {
		return nil, f.lost(now)
	}
	f.number, f.lacks, f.asks = p.Number, time.Time{}, 0
	f.note(p.Sections)
	return p.Sections, false
}

// lost notes that a datagram is missing, and reports whether that is to be
// asked for at once.
func (f *feed) lost(now time.Time) bool {
	if f.lacks.IsZero() {
		f.lacks = now
		return true
	}
	if now.Sub(f.lacks) > lostFor {
		f.synced = false
	}
	return false
}

// takeWhole takes a part of everything there is. Runs that are not told any
// more are cleared with the last part.
func (f *feed) takeWhole(p *feedPart) (sections []section) {
	if p.Part == 0 {
		f.fresh, f.part = map[uint32]bool{}, 0
		f.number = p.Number
	} else if f.fresh == nil || p.Part != f.part || p.Number != f.number {
		f.fresh = nil
		return nil
	}
	f.part++
	for _, s := range p.Sections {
		f.fresh[s.Node] = true
		sections = append(sections, section{Node: s.Node, Gone: true}, s)
	}
	if f.part == p.Parts {
		for node := range f.nodes {
			if !f.fresh[node] {
				sections = append(sections, section{Node: node, Gone: true})
			}
		}
		f.nodes, f.fresh, f.synced, f.stale, f.lacks, f.asks = f.fresh, nil, true, false, time.Time{}, 0
	}
	return sections
}

// note keeps which nodes the source tells of.
func (f *feed) note(sections []section) {
	for _, s := range sections {
		if s.Gone {
			delete(f.nodes, s.Node)
		} else {
			f.nodes[s.Node] = true
		}
	}
}

// drop forgets all that was told; it returns the sections that say so.
func (f *feed) drop() []section {
	var gone []section
	for node := range f.nodes {
		gone = append(gone, section{Node: node, Gone: true})
	}
	f.nodes, f.fresh, f.synced, f.counts = map[uint32]bool{}, nil, false, nil
	return gone
}
