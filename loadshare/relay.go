package loadshare

import (
	"maps"
	"time"

	"github.com/walnutramp/walnutramp/balance"
)

// Times of relaying.
const (
	// perSubscriber is the time for each subscriber in which news is gathered:
	// it bounds a feed to 400 datagrams a second.
	perSubscriber = 2500 * time.Microsecond
	leastGather   = 10 * time.Millisecond
	// urgentShare is the part of that time in which urgent news is gathered: it
	// comes in bursts, as when a data hall of engines ends.
	urgentShare = 0.5
	// heartbeat is how often a feed without news says that it is there.
	heartbeat = 150 * time.Millisecond
	// subscriptionLife is how long a subscription lasts that is not renewed.
	subscriptionLife = 2500 * time.Millisecond
	// originLife is how long a node's runs count after its last report.
	originLife = 3 * time.Second
	// reportLate is when a node's report is overdue: it comes every second.
	reportLate = 1500 * time.Millisecond
	// countsEvery is the shortest time between two tellings of the counts.
	countsEvery = 500 * time.Millisecond
	// keptParts is how many datagrams of changes are kept for those that lose
	// one: those of a second or more.
	keptParts = 64
	// Repairs that fill a link lose more than they make good. So no more than
	// againMost datagrams are told again at one question, and whoever is told
	// everything takes from a budget, in runs and nodes of some 25 bytes: 0.2 MB
	// a second of the 1.2 that the slowest links known of carry.
	againMost       = 8
	wholePerSecond  = 8000.0
	wholeBudgetMost = 1600.0
	// maxShortRuns bounds a part of a feed, of some 25 bytes a run.
	maxShortRuns = 400
)

// origin is a node whose runs a relay knows.
type origin struct {
	local  bool      // of the own data hall: it reports here itself
	heard  time.Time // when it last reported
	runs   map[uint64]originRun
	counts map[string]balance.Count
}

type originRun struct {
	shortRun
	at time.Time // when its age was that
}

// sameAs reports whether another word of a run tells nothing new. The number
// alone does not say that it is the same one: its node may have started again.
func (r originRun) sameAs(other shortRun) bool {
	return r.Target == other.Target && r.Hold == other.Hold && (r.Read == 0) == (other.Read == 0) && r.Copy == other.Copy
}

// asOf returns a run with its age brought up to date.
func (r originRun) asOf(now time.Time) shortRun {
	if r.Read > 0 {
		r.AgeMS += now.Sub(r.at).Milliseconds()
	}
	return r.shortRun
}

// relay is what a node knows of others through reports and feeds, and what it
// tells on. The sharer's relayMu guards it.
type relay struct {
	origins map[uint32]*origin
	budget  float64    // for telling everything
	filled  time.Time  // when the budget was worked out
	hall    *publisher // tells other halls of the own one
	site    *publisher // tells the own hall of all
}

func newRelay() *relay {
	return &relay{origins: map[uint32]*origin{}, hall: newPublisher(scopeHall), site: newPublisher(scopeSite)}
}

// mayTellWhole takes what telling everything of a scope costs from the budget;
// false if there is none left.
func (r *relay) mayTellWhole(s scope, now time.Time) bool {
	r.budget = min(wholeBudgetMost, r.budget+now.Sub(r.filled).Seconds()*wholePerSecond)
	r.filled = now
	if r.budget <= 0 {
		return false
	}
	for _, o := range r.origins {
		if s == scopeSite || o.local {
			r.budget -= float64(1 + len(o.runs))
		}
	}
	return true
}

// publisherOf returns the publisher of a scope, nil for none.
func (r *relay) publisherOf(s scope) *publisher {
	switch s {
	case scopeHall:
		return r.hall
	case scopeSite:
		return r.site
	}
	return nil
}

// change brings the runs of a node up to date and passes the change on.
func (r *relay) change(s section, local bool, now time.Time) {
	o := r.origins[s.Node]
	if s.Gone {
		if o != nil {
			delete(r.origins, s.Node)
			r.publish(s, o.local)
		}
		return
	}
	if o == nil {
		o = &origin{runs: map[uint64]originRun{}}
		r.origins[s.Node] = o
	}
	o.local, o.heard = local, now
	for _, run := range s.Runs {
		o.runs[run.Number] = originRun{shortRun: run, at: now}
	}
	for _, number := range s.Over {
		delete(o.runs, number)
	}
	r.publish(s, local)
}

func (r *relay) publish(s section, local bool) {
	if len(s.Runs)+len(s.Over) == 0 && !s.Gone {
		return
	}
	r.site.add(s)
	if local {
		r.hall.add(s)
	}
}

// difference returns what a report changes of a node's runs.
func (r *relay) difference(node uint32, runs []shortRun) section {
	s := section{Node: node}
	live := make(map[uint64]bool, len(runs))
	o := r.origins[node]
	for _, run := range runs {
		live[run.Number] = true
		if o != nil {
			before, known := o.runs[run.Number]
			if known && before.sameAs(run) {
				continue
			}
		}
		s.Runs = append(s.Runs, run)
	}
	if o == nil {
		return s
	}
	for number := range o.runs {
		if !live[number] {
			s.Over = append(s.Over, number)
		}
	}
	return s
}

// hears reports whether a node reports here itself: its own word is newer than
// what a feed tells of it.
func (r *relay) hears(node uint32, now time.Time) bool {
	o := r.origins[node]
	return o != nil && o.local && now.Sub(o.heard) <= reportLate
}

// reportedOnce reports whether a node reported here and does not any more: what
// a feed changes of its runs lacks what it had told here.
func (r *relay) reportedOnce(node uint32, now time.Time) bool {
	o := r.origins[node]
	return o != nil && o.local && now.Sub(o.heard) > reportLate
}

// runsOf returns the runs of a node as they stand.
func (r *relay) runsOf(node uint32, now time.Time) []shortRun {
	o := r.origins[node]
	if o == nil {
		return nil
	}
	runs := make([]shortRun, 0, len(o.runs))
	for _, run := range o.runs {
		runs = append(runs, run.asOf(now))
	}
	return runs
}

// names returns the nodes whose runs are known.
func (r *relay) names() []string {
	names := make([]string, 0, len(r.origins))
	for node := range r.origins {
		names = append(names, nodeName(node))
	}
	return names
}

// expire drops the nodes of the own hall that report no more.
func (r *relay) expire(now time.Time) (gone []uint32) {
	for node, o := range r.origins {
		if o.local && now.Sub(o.heard) > originLife {
			gone = append(gone, node)
		}
	}
	for _, node := range gone {
		r.change(section{Node: node, Gone: true}, true, now)
	}
	return gone
}

// whole returns the runs of all nodes of a scope.
func (r *relay) whole(s scope, now time.Time) []section {
	var all []section
	for node, o := range r.origins {
		if s == scopeHall && !o.local {
			continue
		}
		one := section{Node: node}
		for _, run := range o.runs {
			one.Runs = append(one.Runs, run.asOf(now))
		}
		all = append(all, one)
	}
	return all
}

// counts sums what the nodes of the own hall told.
func (r *relay) counts() map[string]balance.Count {
	sum := map[string]balance.Count{}
	for _, o := range r.origins {
		if o.local {
			addCounts(sum, o.counts)
		}
	}
	return sum
}

// addCounts adds counts by service to a sum.
func addCounts(sum, counts map[string]balance.Count) {
	for service, c := range counts {
		before := sum[service]
		sum[service] = balance.Count{Requests: before.Requests + c.Requests, Repeats: before.Repeats + c.Repeats}
	}
}

// urgent is news of targets that can't wait.
type urgent struct {
	ended, suspects, silent []string
}

func (u urgent) empty() bool { return len(u.ended)+len(u.suspects)+len(u.silent) == 0 }

// publisher tells the subscribers of a feed what changes.
type publisher struct {
	scope       scope
	changed     chan struct{}
	number      uint64     // of the newest datagram of changes
	kept        []feedPart // the newest datagrams of changes
	pending     []section
	news        urgent
	told        map[newsKey]time.Time // urgent news: when it was told on
	countsAt    time.Time             // when the counts were told last
	sentAt      time.Time
	subscribers map[string]*subscriber // by address
}

type subscriber struct {
	at    time.Time // when it subscribed last
	whole bool      // it is to be told everything
}

func newPublisher(s scope) *publisher {
	return &publisher{scope: s, changed: make(chan struct{}, 1), told: map[newsKey]time.Time{}, subscribers: map[string]*subscriber{}}
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
	all := time.Duration(len(p.subscribers)) * perSubscriber
	if !p.news.empty() {
		all = time.Duration(urgentShare * float64(all))
	}
	return max(leastGather, all)
}

// flush returns the datagrams that tell what has changed, those who are told
// them, and the newcomers that are told everything.
func (p *publisher) flush(r *relay, counts map[string]balance.Count, now time.Time) (changes []feedPart, told, newcomers []string) {
	first := feedPart{Scope: p.scope, Ended: p.news.ended, Suspects: p.news.suspects, Silent: p.news.silent}
	if now.Sub(p.countsAt) >= countsEvery {
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
	p.pending, p.news, p.sentAt = nil, urgent{}, now
	for address, s := range p.subscribers {
		if s.whole && r.mayTellWhole(p.scope, now) {
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
func (p *publisher) everything(r *relay, counts map[string]balance.Count, now time.Time) []feedPart {
	first := feedPart{Scope: p.scope, Counts: counts}
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
	parts := p.parts(first, r.whole(p.scope, now))
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
			parts = append(parts, feedPart{Scope: p.scope})
			size = 0
		}
		last := &parts[len(parts)-1]
		last.Sections = append(last.Sections, s)
		size += n
	}
	return parts
}
