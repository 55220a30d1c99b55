package balance

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/rendezvous"
)

// A site may have ten thousand targets, of which a choice needs to look at few: those
// with least to do in each data hall, and those that the request has a tie to. So
// targets are kept by data hall and by how many runs they have, and what choices go by
// is counted as runs begin and end.

// levels is by how many runs under way targets are told apart; the last level is for
// that many and more.
const levels = 24

// occupancy is what takes a target up, by the runs that this node knows.
type occupancy struct {
	runs   int
	unread int // runs whose prompts are still to be read
	held   int // tokens of the runs
	copies int // tokens of copies of other engines' runs
}

// occupancyOf returns what one run takes up.
func occupancyOf(hold int, unread bool) occupancy {
	o := occupancy{runs: 1, held: hold}
	if unread {
		o.unread = 1
	}
	return o
}

func (o *occupancy) add(other occupancy, sign int) {
	o.runs += sign * other.runs
	o.unread += sign * other.unread
	o.held += sign * other.held
	o.copies += sign * other.copies
}

// pool is the listed targets of one service.
type pool struct {
	halls  map[string]*hallPool
	order  []*hallPool // in the order in which they came
	size   int
	errors float64   // sum of the targets' shares of failures
	broken []*Target // that broke off lately, by this node's or another's word
	silent []*Target // that fell silent, ever
}

// hallPool is the targets of a pool in one data hall.
type hallPool struct {
	name    string
	byRuns  [levels][]*Target
	ring    []ringPoint // sorted by hash
	kept    []*Target   // to which a connection is kept
	owned   []*Target   // that this node owns, in its own data hall
	present int         // targets that are not known to have ended
	live    int         // of these, the ones that don't leave
	reading int         // targets with prompts to read
	taken   occupancy
	inDoubt bool // as of the newest choice
	broken  int  // targets that broke off just now, as of the newest look
}

// ringPoint is a target's place in the order by which keys find their targets.
type ringPoint struct {
	hash   uint64
	target *Target
}

func byHash(p ringPoint, hash uint64) int { return cmp.Compare(p.hash, hash) }

// poolOf returns the pool of a service. The caller holds the mutex.
func (t *Tracker) poolOf(service string) *pool {
	p := t.pools[service]
	if p == nil {
		p = &pool{halls: map[string]*hallPool{}}
		t.pools[service] = p
	}
	return p
}

// add puts a target into the pool.
func (p *pool) add(t *Target) {
	h := p.halls[t.DataHall]
	if h == nil {
		h = &hallPool{name: t.DataHall}
		p.halls[t.DataHall] = h
		p.order = append(p.order, h)
	}
	t.pool, t.hall = p, h
	p.size++
	p.errors += t.errors
	t.enterLevel()
	at := ringPoint{hash: xxhash.Sum64String(t.ID), target: t}
	i, _ := slices.BinarySearchFunc(h.ring, at.hash, byHash)
	h.ring = slices.Insert(h.ring, i, at)
	h.countPresence(t, 1)
	h.taken.add(t.taken, 1)
	if t.taken.unread > 0 {
		h.reading++
	}
	if !t.silent.IsZero() {
		p.silent = append(p.silent, t)
	}
	t.noteOwned()
	t.inBroken = false
	t.noteBroken() // whoever looks finds out if that is long ago
}

// remove takes a target out of its pool.
func (p *pool) remove(t *Target) {
	h := t.hall
	p.size--
	p.errors -= t.errors
	t.leaveLevel()
	h.leaveRing(t)
	h.countPresence(t, -1)
	h.taken.add(t.taken, -1)
	if t.taken.unread > 0 {
		h.reading--
	}
	p.broken = without(p.broken, t)
	p.silent = without(p.silent, t)
	h.owned = without(h.owned, t)
	h.kept = without(h.kept, t)
	t.keptUntil = time.Time{}
	t.pool, t.hall = nil, nil
}

// leaveRing takes a target off the ring.
func (h *hallPool) leaveRing(t *Target) {
	i, _ := slices.BinarySearchFunc(h.ring, xxhash.Sum64String(t.ID), byHash)
	for h.ring[i].target != t {
		i++
	}
	h.ring = slices.Delete(h.ring, i, i+1)
}

func without(targets []*Target, left *Target) []*Target {
	return slices.DeleteFunc(targets, func(t *Target) bool { return t == left })
}

// countPresence counts a target in or out of those that are there.
func (h *hallPool) countPresence(t *Target, sign int) {
	if t.gone {
		return
	}
	h.present += sign
	if t.State != discovery.TargetDraining {
		h.live += sign
	}
}

// setGone notes that the target has ended. The caller holds the mutex.
func (t *Target) setGone() {
	t.alter(func() { t.gone = true })
	t.tracker.failed[t] = struct{}{}
}

// setDraining notes that the target leaves. The caller holds the mutex.
func (t *Target) setDraining() { t.alter(func() { t.State = discovery.TargetDraining }) }

// alter changes what its data hall counts the target by.
func (t *Target) alter(change func()) {
	if t.hall == nil {
		change()
		return
	}
	t.hall.countPresence(t, -1)
	change()
	t.hall.countPresence(t, 1)
}

// enterLevel puts the target among those of its data hall with as many runs.
func (t *Target) enterLevel() {
	t.level = min(t.taken.runs, levels-1)
	alike := &t.hall.byRuns[t.level]
	t.place = len(*alike)
	*alike = append(*alike, t)
}

func (t *Target) leaveLevel() {
	alike := t.hall.byRuns[t.level]
	last := alike[len(alike)-1]
	alike[t.place], last.place = last, t.place
	alike[len(alike)-1] = nil
	t.hall.byRuns[t.level] = alike[:len(alike)-1]
}

// occupy adds to what takes the target up, or takes from it. The caller holds the
// mutex.
func (t *Target) occupy(o occupancy, sign int) {
	read := t.taken.unread > 0
	t.taken.add(o, sign)
	if t.hall == nil {
		return
	}
	t.hall.taken.add(o, sign)
	if reads := t.taken.unread > 0; reads != read {
		if reads {
			t.hall.reading++
		} else {
			t.hall.reading--
		}
	}
	if min(t.taken.runs, levels-1) != t.level {
		t.leaveLevel()
		t.enterLevel()
	}
}

// setErrors sets the target's share of failures.
func (t *Target) setErrors(share float64) {
	if t.pool != nil {
		t.pool.errors += share - t.errors
	}
	t.errors = share
}

// all returns the pool's targets, in no order.
func (p *pool) all() iter.Seq[*Target] {
	return func(yield func(*Target) bool) {
		for _, h := range p.order {
			for _, at := range h.ring {
				if !yield(at.target) {
					return
				}
			}
		}
	}
}

// total adds up what takes the pool's targets up.
func (p *pool) total() occupancy {
	var sum occupancy
	for _, h := range p.order {
		sum.add(h.taken, 1)
	}
	return sum
}

// findDoubt marks the data halls where so many targets broke off just now that the
// others may have, too.
func (p *pool) findDoubt(now time.Time) {
	for _, h := range p.order {
		h.inDoubt, h.broken = false, 0
	}
	p.broken = slices.DeleteFunc(p.broken, func(t *Target) bool {
		t.inBroken = now.Sub(t.broke) < hallDoubtTime || now.Sub(t.rumour) < hallDoubtTime
		if t.inBroken && !t.gone {
			t.hall.broken++
		}
		return !t.inBroken
	})
	for _, h := range p.order {
		h.inDoubt = h.broken >= hallDoubtLeast && float64(h.broken) >= hallDoubtShare*float64(h.present)
	}
}

// noteBroken notes that a target broke off. The caller holds the mutex.
func (t *Target) noteBroken() {
	if t.pool != nil && !t.inBroken {
		t.inBroken = true
		t.pool.broken = append(t.pool.broken, t)
	}
}

// noteSilent notes that a target fell silent. The caller holds the mutex.
func (t *Target) noteSilent() {
	if t.pool != nil && t.silent.IsZero() {
		t.pool.silent = append(t.pool.silent, t)
	}
}

// SetKept notes until when a connection is kept to a target, by its life; zero for none.
func (t *Tracker) SetKept(life string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	target := t.byLife[life]
	if target == nil {
		return
	}
	if target.keptUntil.IsZero() && !until.IsZero() {
		target.hall.kept = append(target.hall.kept, target)
	}
	if until.IsZero() {
		target.hall.kept = without(target.hall.kept, target)
	}
	target.keptUntil = until
}

// homeWindow is among how many targets a key's home is found: enough that none is the
// home of many more keys than others, few for what a choice may cost.
const homeWindow = 16

// home returns the target of the data hall that a key names, nil if none takes work,
// and its weight: the highest by rendezvous hash among the next few on the ring.
func (h *hallPool) home(key string, now time.Time) (home *Target, highest uint64) {
	start, _ := slices.BinarySearchFunc(h.ring, xxhash.Sum64String(key), byHash)
	for i, open := 0, 0; i < len(h.ring) && open < homeWindow; i++ {
		t := h.ring[(start+i)%len(h.ring)].target
		if !t.open(now) {
			continue
		}
		open++
		if weight := rendezvous.Weight(key, t.ID); home == nil || weight > highest {
			home, highest = t, weight
		}
	}
	return home, highest
}
