package loadshare

import (
	"maps"
	"time"

	"github.com/walnutramp/walnutramp/balance"
)

// Times and bounds of a feed, at its publisher.
const (
	// perSubscriber is the time for each subscriber in which news is gathered:
	// it bounds a feed to 400 datagrams a second.
	perSubscriber = 2500 * time.Microsecond
	leastGather   = 10 * time.Millisecond
	// regionGather is the shortest time in which news is gathered for another
	// region: bytes between regions cost several times those between data halls,
	// and a datagram's head is as long as a run's word. A choice that would need
	// word that new stays in its region.
	regionGather = 50 * time.Millisecond
	// urgentShare is the part of that time in which urgent news is gathered: it
	// comes in bursts, as when a data hall of engines ends.
	urgentShare = 0.5
	// heartbeat is how often a feed without news says that it is there.
	heartbeat = 150 * time.Millisecond
	// subscriptionLife is how long a subscription lasts that is not renewed.
	subscriptionLife = 2500 * time.Millisecond
	// countsEvery is the shortest time between two tellings of the counts.
	countsEvery = 500 * time.Millisecond
	// keptParts is how many datagrams of changes are kept for those that lose
	// one, those of a second or more; againMost bounds what one question brings.
	keptParts = 64
	againMost = 8
	// maxShortRuns bounds a part of a feed, of some 25 bytes a run.
	maxShortRuns = 400
	// maxFeedEnds bounds the notes of ends in a datagram, of some 25 bytes each.
	// More come only with a lost data hall, of which one end each is too little to
	// hold any request back.
	maxFeedEnds = 200
)

// urgent is news of targets that can't wait.
type urgent struct {
	ended, suspects, silent []string
	ends                    []endNote // that nobody told before
}

func (u urgent) empty() bool { return len(u.ended)+len(u.suspects)+len(u.silent)+len(u.ends) == 0 }

// publisher tells the subscribers of a feed what changes.
type publisher struct {
	scope       scope
	region      string        // of scopeRegion
	least       time.Duration // shortest time in which news is gathered
	changed     chan struct{}
	number      uint64     // of the newest datagram of changes
	kept        []feedPart // the newest datagrams of changes
	pending     []section
	news        urgent
	told        map[newsKey]time.Time  // urgent news: when it was told on
	countsAt    time.Time              // when the counts were told last
	gravesAt    time.Time              // when the ends of contents that are held back were
	subscribers map[string]*subscriber // by address
}

type subscriber struct {
	at    time.Time // when it subscribed last
	whole bool      // it is to be told everything
}

func newPublisher(s scope) *publisher {
	return &publisher{scope: s, least: leastGather, changed: make(chan struct{}, 1), told: map[newsKey]time.Time{}, subscribers: map[string]*subscriber{}}
}

// newRegionPublisher returns the publisher of a region: the own one, of which
// other regions are told, or another one, of which the own region is told.
func newRegionPublisher(region string, own bool) *publisher {
	p := newPublisher(scopeRegion)
	p.region = region
	if own {
		p.least = regionGather
	}
	return p
}

// covers reports whether a node's runs are told.
func (p *publisher) covers(o *origin) bool {
	switch p.scope {
	case scopeHall:
		return o.local
	case scopeRegion:
		return o.region == p.region
	}
	return true
}

func (p *publisher) wake() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// add puts a change in the next datagram.
func (p *publisher) add(s section) {
	if len(p.subscribers) == 0 {
		return
	}
	p.pending = append(p.pending, s)
	p.wake()
}

// newsKind says what happened to a target.
type newsKind int

const (
	newsEnded newsKind = iota
	newsSuspect
	newsSilent
)

// newsKey names a piece of urgent news.
type newsKey struct {
	kind   newsKind
	target string
}

// addUrgent puts news that was not told lately in the next datagram.
func (p *publisher) addUrgent(u urgent, now time.Time) {
	p.news.ended = append(p.news.ended, p.untold(newsEnded, u.ended, now)...)
	p.news.suspects = append(p.news.suspects, p.untold(newsSuspect, u.suspects, now)...)
	p.news.silent = append(p.news.silent, p.untold(newsSilent, u.silent, now)...)
	p.news.ends = append(p.news.ends, u.ends...)
	if !p.news.empty() {
		p.wake()
	}
}

// urgentLife is how long news of a target counts as told: those that find out
// for themselves within it tell nothing new. It is shorter than the time for
// which such news counts (suspectLife and refusedLife of package balance).
const urgentLife = 2500 * time.Millisecond

func (p *publisher) untold(kind newsKind, ids []string, now time.Time) []string {
	var fresh []string
	for _, id := range ids {
		if key := (newsKey{kind, id}); now.Sub(p.told[key]) > urgentLife {
			p.told[key] = now
			fresh = append(fresh, id)
		}
	}
	return fresh
}

// subscribe notes a subscriber, until it is not heard of for a while. It
// returns the datagrams that the subscriber lost, as far as they are kept; if
// they are not, everything is told.
func (p *publisher) subscribe(address string, q *subscribe, now time.Time) (again []feedPart) {
	s := p.subscribers[address]
	if s == nil {
		s = &subscriber{whole: true}
		p.subscribers[address] = s
	}
	s.at = now
	if q.From > 0 && !s.whole {
		if again = p.since(q.From); again == nil {
			s.whole = true
		}
	}
	s.whole = s.whole || q.Whole
	if s.whole {
		p.wake()
	}
	return again
}

// since returns the datagrams of changes from a number on, nil if they are not
// kept.
func (p *publisher) since(number uint64) []feedPart {
	first := p.number + 1 - uint64(len(p.kept))
	if number < first || number > p.number {
		return nil
	}
	again := p.kept[number-first:]
	return again[:min(againMost, len(again))]
}

// forget drops what nobody wants to be told.
func (p *publisher) forget() { p.pending, p.news = nil, urgent{} }

// expire drops subscribers that have gone, and news told long ago.
func (p *publisher) expire(now time.Time) {
	maps.DeleteFunc(p.subscribers, func(_ string, s *subscriber) bool { return now.Sub(s.at) > subscriptionLife })
	maps.DeleteFunc(p.told, func(_ newsKey, at time.Time) bool { return now.Sub(at) > urgentLife })
}

// gather is how long changes are gathered before they are told.
func (p *publisher) gather() time.Duration {
	all := max(p.least, time.Duration(len(p.subscribers))*perSubscriber)
	if !p.news.empty() {
		all = time.Duration(urgentShare * float64(all))
	}
	return max(leastGather, all)
}

// countsDue reports whether the counts are to be told now.
func (p *publisher) countsDue(now time.Time) bool { return now.Sub(p.countsAt) >= countsEvery }

// gravesEvery is how often the ends of contents that are held back, or nearly are,
// are told again with the counts. Who was told everything before the second of them
// came knows nothing of the first: with one datagram in five lost, the nodes of a
// data hall did not learn of it otherwise.
const gravesEvery = 2 * time.Second

// gravesDue reports whether these ends are to be told now.
func (p *publisher) gravesDue(now time.Time) bool {
	if !p.countsDue(now) || now.Sub(p.gravesAt) < gravesEvery {
		return false
	}
	p.gravesAt = now
	return true
}

// flush returns the datagrams that tell what has changed, those who are told
// them, and the newcomers that are told everything.
func (p *publisher) flush(r *relay, counts map[string]balance.Count, now time.Time) (changes []feedPart, told, newcomers []string) {
	first := feedPart{Scope: p.scope, Region: p.region, Ended: p.news.ended, Suspects: p.news.suspects, Silent: p.news.silent}
	first.Ends, _ = cut(p.news.ends, maxFeedEnds)
	if p.countsDue(now) {
		p.countsAt, first.Counts = now, counts
	}
	changes = p.parts(first, p.pending)
	if len(p.pending) == 0 && p.news.empty() && first.Counts == nil {
		changes[0].Number, changes[0].Beat = p.number, true
	} else {
		for i := range changes {
			p.number++
			changes[i].Number = p.number
		}
		p.kept = append(p.kept, changes...)
		p.kept = p.kept[max(0, len(p.kept)-keptParts):]
	}
	p.forget()
	for address, s := range p.subscribers {
		if s.whole && r.mayTellWhole(p, now) {
			s.whole = false
			newcomers = append(newcomers, address)
			continue
		}
		told = append(told, address) // a newcomer that waits still takes urgent news
		if s.whole {
			p.wake()
		}
	}
	return changes, told, newcomers
}

// everything returns the datagrams that tell a new subscriber all there is,
// the urgent news of late included.
func (p *publisher) everything(r *relay, counts map[string]balance.Count, ends []endNote, now time.Time) []feedPart {
	first := feedPart{Scope: p.scope, Region: p.region, Counts: counts, Ends: ends}
	for key := range p.told {
		switch key.kind {
		case newsEnded:
			first.Ended = append(first.Ended, key.target)
		case newsSuspect:
			first.Suspects = append(first.Suspects, key.target)
		case newsSilent:
			first.Silent = append(first.Silent, key.target)
		}
	}
	parts := p.parts(first, r.whole(p, now))
	for i := range parts {
		parts[i].Number, parts[i].Part, parts[i].Parts = p.number, i, len(parts)
	}
	return parts
}

// parts spreads sections over datagrams, of which the first is given.
func (p *publisher) parts(first feedPart, sections []section) []feedPart {
	parts := []feedPart{first}
	size := 0
	for _, s := range sections {
		n := 1 + len(s.Runs) + len(s.Over)/2
		if size > 0 && size+n > maxShortRuns {
			parts = append(parts, feedPart{Scope: p.scope, Region: p.region})
			size = 0
		}
		last := &parts[len(parts)-1]
		last.Sections = append(last.Sections, s)
		size += n
	}
	return parts
}
