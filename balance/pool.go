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

// A site may have ten thousand targets, of which a selection should scan few. So
// targets are grouped by data hall and bucketed by number of runs, and their occupancy
// is updated incrementally as runs begin and end.

// runBuckets is the number of buckets by active runs; the last one is open-ended.
const runBuckets = 24

// occupancy is the capacity of a target that known runs and copies use.
type occupancy struct {
	runs            int
	pendingPrefills int // runs whose prefill is pending
	runTokens       int // tokens of the runs
	copyTokens      int // tokens of copies of other engines' runs
}

// occupancyOf returns the occupancy of one run.
func occupancyOf(hold int, pending bool) occupancy {
	o := occupancy{runs: 1, runTokens: hold}
	if pending {
		o.pendingPrefills = 1
	}
	return o
}

func (o *occupancy) add(other occupancy, sign int) {
	o.runs += sign * other.runs
	o.pendingPrefills += sign * other.pendingPrefills
	o.runTokens += sign * other.runTokens
	o.copyTokens += sign * other.copyTokens
}

// pool holds the listed targets of one service.
type pool struct {
	halls          map[string]*hallPool
	ordered        []*hallPool // in insertion order
	size           int
	versions       map[string]*versionCount // those listed, and those that were within versionMemory
	errorRateSum   float64                  // sum of the targets' error rates
	recentFailures []*Target                // recently failed, as found by this node or reported by a peer
	unresponsive   []*Target                // unresponsive at any time since listed
	contact        contact                  // of all its targets, those no longer listed included
	// unconfirmed and unconfirmedDial say that a target has failed, or refused or did not
	// accept a connection, since the last contact that confirms it.
	unconfirmed, unconfirmedDial bool
}

// hallPool holds the targets of a pool in one data hall.
type hallPool struct {
	name           string
	buckets        [runBuckets][]*Target
	ring           []ringPoint // sorted by hash
	connected      []*Target   // with an idle connection
	owned          []*Target   // owned by this node, in its own data hall
	limited        targetSet   // with a rate limit; not in buckets
	limitOwned     targetSet   // of these, the ones of whose rate this node has a part
	present        int         // targets not known to have ended
	accepting      int         // of these, the ones not draining
	prefilling     int         // targets with prefills pending
	occupancy      occupancy
	suspect        bool // as of the latest selection
	recentFailures int  // as of the latest markSuspectHalls
}

// ringPoint is a target's position on the consistent-hash ring.
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

func (p *pool) add(t *Target) {
	h := p.halls[t.DataHall]
	if h == nil {
		h = &hallPool{name: t.DataHall}
		p.halls[t.DataHall] = h
		p.ordered = append(p.ordered, h)
	}
	t.pool, t.hall = p, h
	p.size++
	p.countVersion(t, 1)
	p.errorRateSum += t.errorRate
	t.addToHall()
	at := ringPoint{hash: xxhash.Sum64String(t.ID), target: t}
	i, _ := slices.BinarySearchFunc(h.ring, at.hash, byHash)
	h.ring = slices.Insert(h.ring, i, at)
	h.countPresence(t, 1)
	h.occupancy.add(t.occupancy, 1)
	if t.occupancy.pendingPrefills > 0 {
		h.prefilling++
	}
	if !t.unresponsiveAt.IsZero() {
		p.unresponsive = append(p.unresponsive, t)
	}
	t.addIfOwned()
	t.inRecentFailures = false
	t.addRecentFailure() // markSuspectHalls removes it if the failure is old
}

func (p *pool) remove(t *Target) {
	h := t.hall
	p.size--
	p.countVersion(t, -1)
	p.errorRateSum -= t.errorRate
	t.removeFromHall()
	h.removeFromRing(t)
	h.countPresence(t, -1)
	h.occupancy.add(t.occupancy, -1)
	if t.occupancy.pendingPrefills > 0 {
		h.prefilling--
	}
	p.recentFailures = without(p.recentFailures, t)
	p.unresponsive = without(p.unresponsive, t)
	h.owned = without(h.owned, t)
	h.connected = without(h.connected, t)
	t.connectedUntil = time.Time{}
	t.pool, t.hall = nil, nil
}

func (h *hallPool) removeFromRing(t *Target) {
	i, _ := slices.BinarySearchFunc(h.ring, xxhash.Sum64String(t.ID), byHash)
	for h.ring[i].target != t {
		i++
	}
	h.ring = slices.Delete(h.ring, i, i+1)
}

func without(targets []*Target, removed *Target) []*Target {
	return slices.DeleteFunc(targets, func(t *Target) bool { return t == removed })
}

// countPresence adds or removes a target from the counts of present targets.
func (h *hallPool) countPresence(t *Target, sign int) {
	if t.ended {
		return
	}
	h.present += sign
	if t.State != discovery.TargetDraining {
		h.accepting += sign
	}
}

// markEnded marks the target as ended. The caller holds the mutex.
func (t *Target) markEnded() {
	t.updatePresence(func() { t.ended = true })
	t.tracker.recentlyFailed[t] = struct{}{}
}

// markDraining marks the target as draining. The caller holds the mutex.
func (t *Target) markDraining() { t.updatePresence(func() { t.State = discovery.TargetDraining }) }

// updatePresence applies a change that affects countPresence.
func (t *Target) updatePresence(change func()) {
	if t.hall == nil {
		change()
		return
	}
	t.hall.countPresence(t, -1)
	t.pool.countVersion(t, -1)
	change()
	t.pool.countVersion(t, 1)
	t.hall.countPresence(t, 1)
}

// addToBucket adds the target to the bucket for its number of runs.
func (t *Target) addToBucket() {
	t.bucket = min(t.occupancy.runs, runBuckets-1)
	bucket := &t.hall.buckets[t.bucket]
	t.bucketIndex = len(*bucket)
	*bucket = append(*bucket, t)
}

func (t *Target) removeFromBucket() {
	bucket := t.hall.buckets[t.bucket]
	last := bucket[len(bucket)-1]
	bucket[t.bucketIndex], last.bucketIndex = last, t.bucketIndex
	bucket[len(bucket)-1] = nil
	t.hall.buckets[t.bucket] = bucket[:len(bucket)-1]
}

// addOccupancy adds o to the target's occupancy, or subtracts it. The caller holds the
// mutex.
func (t *Target) addOccupancy(o occupancy, sign int) {
	wasPrefilling := t.occupancy.pendingPrefills > 0
	t.occupancy.add(o, sign)
	if t.hall == nil {
		return
	}
	t.hall.occupancy.add(o, sign)
	if prefilling := t.occupancy.pendingPrefills > 0; prefilling != wasPrefilling {
		if prefilling {
			t.hall.prefilling++
		} else {
			t.hall.prefilling--
		}
	}
	if !t.limited && min(t.occupancy.runs, runBuckets-1) != t.bucket {
		t.removeFromBucket()
		t.addToBucket()
	}
}

// setErrorRate sets the target's error rate and updates the pool's sum.
func (t *Target) setErrorRate(rate float64) {
	if t.pool != nil {
		t.pool.errorRateSum += rate - t.errorRate
	}
	t.errorRate = rate
}

// all iterates over the pool's targets, in no particular order.
func (p *pool) all() iter.Seq[*Target] {
	return func(yield func(*Target) bool) {
		for _, h := range p.ordered {
			for _, at := range h.ring {
				if !yield(at.target) {
					return
				}
			}
		}
	}
}

// total returns the occupancy of the whole pool.
func (p *pool) total() occupancy {
	var sum occupancy
	for _, h := range p.ordered {
		sum.add(h.occupancy, 1)
	}
	return sum
}

// markSuspectHalls marks data halls as suspect in which so many targets failed within
// hallSuspectWindow that the others may have, too.
func (p *pool) markSuspectHalls(now time.Time) {
	for _, h := range p.ordered {
		h.suspect, h.recentFailures = false, 0
	}
	p.recentFailures = slices.DeleteFunc(p.recentFailures, func(t *Target) bool {
		t.inRecentFailures = now.Sub(t.failedAt) < hallSuspectWindow || now.Sub(t.peerFailedAt) < hallSuspectWindow
		if t.inRecentFailures && !t.ended {
			t.hall.recentFailures++
		}
		return !t.inRecentFailures
	})
	for _, h := range p.ordered {
		h.suspect = h.recentFailures >= hallSuspectMin && float64(h.recentFailures) >= hallSuspectShare*float64(h.present)
	}
}

// addRecentFailure adds the target to its pool's recent failures. The caller holds the
// mutex.
func (t *Target) addRecentFailure() {
	if t.pool != nil && !t.inRecentFailures {
		t.inRecentFailures = true
		t.pool.recentFailures = append(t.pool.recentFailures, t)
	}
}

// addUnresponsive adds the target to its pool's unresponsive targets. The caller holds the
// mutex.
func (t *Target) addUnresponsive() {
	if t.pool != nil && t.unresponsiveAt.IsZero() {
		t.pool.unresponsive = append(t.pool.unresponsive, t)
	}
}

// SetConnectedUntil sets until when an idle connection to an incarnation is kept; zero
// for none. It ignores an incarnation that is not listed.
func (t *Tracker) SetConnectedUntil(incarnation string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	target := t.byIncarnation[incarnation]
	if target == nil {
		return
	}
	if target.connectedUntil.IsZero() && !until.IsZero() {
		target.hall.connected = append(target.hall.connected, target)
	}
	if until.IsZero() {
		target.hall.connected = without(target.hall.connected, target)
	}
	target.connectedUntil = until
}

// affinityWindow is the number of available targets on the ring among which a key's
// affinity target is chosen: large enough to spread keys evenly, small enough to be
// cheap.
const affinityWindow = 16

// affinityTarget returns the affinity target of a key in the data hall and its weight,
// nil if none is available: the highest by rendezvous hash among the next few on the
// ring.
func (h *hallPool) affinityTarget(key string, now time.Time) (best *Target, highest uint64) {
	start, _ := slices.BinarySearchFunc(h.ring, xxhash.Sum64String(key), byHash)
	for i, found := 0, 0; i < len(h.ring) && found < affinityWindow; i++ {
		t := h.ring[(start+i)%len(h.ring)].target
		if !t.available(now) {
			continue
		}
		found++
		if weight := rendezvous.Weight(key, t.ID); best == nil || weight > highest {
			best, highest = t, weight
		}
	}
	return best, highest
}
