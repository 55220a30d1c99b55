package loadshare

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/rendezvous"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// Times of tending the subscriptions.
const (
	tendEvery  = 100 * time.Millisecond
	tendDirect = time.Second // where nothing passes through relays
	// askHallsEvery is the pause between two questions for data halls that are
	// not known, and askHallsMost bounds one round of them.
	askHallsEvery = 200 * time.Millisecond
	askHallsMost  = 100
	// stillThereEvery is well within the time that a node's word counts.
	stillThereEvery = 500 * time.Millisecond
	// siteCounts names what all other nodes together told of repeats.
	siteCounts = "site"
)

// wakeTend has the subscriptions looked after at once.
func (s *Sharer) wakeTend() {
	select {
	case s.tendSoon <- struct{}{}:
	default:
	}
}

// tend keeps the subscriptions in order until ctx ends.
func (s *Sharer) tend(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-s.tendSoon:
		case <-ctx.Done():
			return
		}
		l := s.layoutNow()
		next := tendDirect
		if l.relayed {
			s.tendRelayed(l, uptime.Now())
			next = tendEvery
		}
		timer.Reset(next)
	}
}

// tendRelayed does what is due where words pass through relays.
func (s *Sharer) tendRelayed(l *layout, now time.Time) {
	s.askHalls(l, now)
	s.relayMu.Lock()
	changed := s.wantFeeds(l, now)
	maps.Copy(changed, s.expire(now))
	asks := s.askFeeds(l, now)
	others := s.countsOfOthers()
	var there []string
	if now.Sub(s.thereAt) >= stillThereEvery {
		s.thereAt = now
		there = s.relay.names()
	}
	s.relayMu.Unlock()
	s.handOn(changed)
	for _, a := range asks {
		s.sendTo(s.addressesOf([]string{a.source}), s.signed(message{Subscribe: &a.question}))
	}
	s.budgets.SetOther(siteCounts, others)
	s.tracker.StillThere(there)
}

// askHalls asks peers where they stand, as far as that is not known.
func (s *Sharer) askHalls(l *layout, now time.Time) {
	if len(l.unknown) == 0 || now.Sub(s.askedHalls) < askHallsEvery {
		return
	}
	s.askedHalls = now
	some := slices.Clone(l.unknown)
	rendezvous.Sort(some, l.own+strconv.FormatInt(now.UnixNano(), 36)) // each time others
	some = some[:min(askHallsMost, len(some))]
	s.sendTo(s.addressesOf(some), s.signed(message{Asks: true}))
}

// wantFeeds has a feed for each that this node needs: a relay one of each other
// data hall of its region and of each other region, any other node that of its
// relay. It returns the nodes that only a
// feed told of that is not wanted any more. The caller holds relayMu.
func (s *Sharer) wantFeeds(l *layout, now time.Time) map[uint32][]shortRun {
	wanted := map[feedKey]bool{}
	if l.isRelay() {
		for hall := range l.relays {
			if hall != l.hall && l.regionOf(hall) == l.region {
				wanted[feedKey{scopeHall, hall}] = true
			}
		}
		for _, region := range l.otherRegions() {
			wanted[feedKey{scopeRegion, region}] = true
		}
	} else {
		wanted[feedKey{scopeSite, l.hall}] = true
	}
	for key := range wanted {
		if s.feeds[key] == nil {
			s.feeds[key] = key.feed()
		}
	}
	gone := map[uint32][]shortRun{}
	for key, f := range s.feeds {
		if !wanted[key] {
			delete(s.feeds, key)
			maps.Copy(gone, s.applySections(f, f.drop(), now))
		}
	}
	return gone
}

// feedKey names a feed.
type feedKey struct {
	scope scope
	of    string // data hall, or region
}

// feed returns a feed of that name.
func (k feedKey) feed() *feed {
	if k.scope == scopeRegion {
		return newRegionFeed(k.of)
	}
	return newFeed(k.scope, k.of)
}

// expire forgets nodes and subscribers that are not heard any more, and returns
// the nodes whose runs are gone. The caller holds relayMu.
func (s *Sharer) expire(now time.Time) map[uint32][]shortRun {
	gone := map[uint32][]shortRun{}
	for _, node := range s.relay.expire(now) {
		gone[node] = nil
		s.resyncFor(node)
	}
	for _, p := range s.relay.publishers() {
		p.expire(now)
	}
	for _, f := range s.feeds {
		// Not since its source was chosen: where none is heard, they take turns.
		if now.Sub(f.heard) > originLife {
			maps.Copy(gone, s.applySections(f, f.drop(), now))
		}
	}
	return gone
}

// resyncFor has a feed that tells of a node tell everything: the node reported
// here until now. Until that is told, which may be a second later, changes are taken
// all the same: else this node would know of no run that begins in it, and a relay
// would have nothing to tell. The caller holds relayMu.
func (s *Sharer) resyncFor(node uint32) {
	for _, f := range s.feeds {
		if f.nodes[node] {
			f.stale = true
		}
	}
}

// ask is a question to the source of a feed. A relay may be the source of several.
type ask struct {
	source   string
	question subscribe
}

// askFeeds chooses the sources of the feeds, and returns the questions that
// are due. The caller holds relayMu.
func (s *Sharer) askFeeds(l *layout, now time.Time) []ask {
	var asks []ask
	for _, f := range s.feeds {
		before, missed := f.source, s.missed
		if f.missed != nil {
			missed = f.missed
		}
		if f.choose(s.sourcesOf(f, l), missed, now) && missed[before].Equal(now) {
			s.count.silent.Add(1)
			klog.InfoS("Relay is silent, another is asked", "dataHall", f.hall, "region", f.region, "silent", before, "asked", f.source)
		}
		if f.due(now) {
			asks = append(asks, ask{source: f.source, question: f.question(now)})
		}
	}
	return asks
}

// sourcesOf returns whom a feed may be asked of, in this order. The caller holds
// relayMu.
func (s *Sharer) sourcesOf(f *feed, l *layout) []string {
	if f.scope != scopeRegion {
		return without(l.sources(f.hall), l.own)
	}
	p := s.relay.regions[f.region]
	return l.regionSources(f.region, p != nil && len(p.subscribers) > 0)
}

// countsOfOthers sums the counts of all other nodes. The caller holds relayMu.
func (s *Sharer) countsOfOthers() map[string]balance.Count {
	sum := map[string]balance.Count{}
	relayed := false
	for _, f := range s.feeds {
		addCounts(sum, f.counts)
		relayed = relayed || f.scope != scopeSite
	}
	if relayed {
		addCounts(sum, s.relay.counts())
	}
	for service, own := range s.budgets.Counts() {
		c := sum[service]
		sum[service] = balance.Count{Requests: max(0, c.Requests-own.Requests), Repeats: max(0, c.Repeats-own.Repeats)}
	}
	return sum
}
