package loadshare

import (
	"maps"
	"time"

	"github.com/walnutramp/walnutramp/balance"
)

// Timing and limits of a publisher.
const (
	// perSubscriberDelay is the batching delay per subscriber.
	perSubscriberDelay = 2500 * time.Microsecond
	minBatchDelay      = 10 * time.Millisecond
	// regionBatchDelay is the minimum batching delay towards other regions.
	regionBatchDelay = 50 * time.Millisecond
	// eventDelayFactor scales the batching delay for target events, down to at least
	// minBatchDelay: events come in bursts, as when a data hall fails.
	eventDelayFactor = 0.5
	// heartbeatInterval is the time between datagrams of a feed without changes.
	heartbeatInterval = 150 * time.Millisecond
	// subscriptionTimeout is how long a subscription lasts without renewal.
	subscriptionTimeout = 2500 * time.Millisecond
	// countsInterval is the minimum time between change datagrams with counts.
	countsInterval = 500 * time.Millisecond
	// resendBuffer is how many datagrams are kept for retransmission; maxResend bounds
	// the retransmissions per request.
	resendBuffer = 64
	maxResend    = 8
	// maxDatagramRuns bounds the runs in a feed datagram, of about 25 bytes each.
	maxDatagramRuns = 400
	// maxFeedCrashes bounds the crash reports in a datagram, of about 25 bytes each.
	// Only the failure of a data hall exceeds it, with one crash per content, which
	// is too few to quarantine any.
	maxFeedCrashes = 200
)

// targetEvents are failures of targets, by target. They are sent with a shorter batching
// delay, but at least minBatchDelay.
type targetEvents struct {
	ended, suspects, unresponsive []string
	crashes                       []crashReport // new to this node
}

func (e targetEvents) empty() bool {
	return len(e.ended)+len(e.suspects)+len(e.unresponsive)+len(e.crashes) == 0
}

// publisher sends changes to the subscribers of a feed. The sharer's relayMu guards it.
type publisher struct {
	scope            scope
	region           string        // of scopeRegion
	minDelay         time.Duration // minimum batching delay
	changed          chan struct{}
	sequence         uint64         // of the newest change datagram
	sent             []feedDatagram // newest change datagrams, for retransmission
	pending          []nodeDelta
	events           targetEvents
	sentEvents       map[eventKey]time.Time // when each target event was last sent
	countsSentAt     time.Time              // when counts were last sent
	quarantineSentAt time.Time              // when crash reports of quarantined contents were last sent
	subscribers      map[string]*subscriber // by address
}

type subscriber struct {
	renewedAt     time.Time // time of the last subscribe request
	needsSnapshot bool      // a snapshot is pending
}

func newPublisher(s scope) *publisher {
	return &publisher{scope: s, minDelay: minBatchDelay, changed: make(chan struct{}, 1), sentEvents: map[eventKey]time.Time{}, subscribers: map[string]*subscriber{}}
}

// newRegionPublisher returns the publisher of a region's runs. With own, it sends those of
// this node's region to other regions, otherwise those of another region to relays of
// this one.
func newRegionPublisher(region string, own bool) *publisher {
	p := newPublisher(scopeRegion)
	p.region = region
	if own {
		p.minDelay = regionBatchDelay
	}
	return p
}

// includes reports whether the feed carries a node's runs.
func (p *publisher) includes(o *origin) bool {
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

// add queues a change for the next datagram, unless there are no subscribers.
func (p *publisher) add(delta nodeDelta) {
	if len(p.subscribers) == 0 {
		return
	}
	p.pending = append(p.pending, delta)
	p.wake()
}

// eventKind is the kind of a target event.
type eventKind int

const (
	eventEnded eventKind = iota
	eventSuspect
	eventUnresponsive
)

type eventKey struct {
	kind   eventKind
	target string
}

// addEvents queues events that were not sent recently for the next datagram.
func (p *publisher) addEvents(e targetEvents, now time.Time) {
	p.events.ended = append(p.events.ended, p.notRecentlySent(eventEnded, e.ended, now)...)
	p.events.suspects = append(p.events.suspects, p.notRecentlySent(eventSuspect, e.suspects, now)...)
	p.events.unresponsive = append(p.events.unresponsive, p.notRecentlySent(eventUnresponsive, e.unresponsive, now)...)
	p.events.crashes = append(p.events.crashes, e.crashes...)
	if !p.events.empty() {
		p.wake()
	}
}

// eventDedupTime is how long repeated reports of a target event are suppressed. It is
// shorter than the lifetime of such events (suspectTTL and refusedTTL of package
// balance).
const eventDedupTime = 2500 * time.Millisecond

func (p *publisher) notRecentlySent(kind eventKind, targets []string, now time.Time) []string {
	var unsent []string
	for _, target := range targets {
		if key := (eventKey{kind, target}); now.Sub(p.sentEvents[key]) > eventDedupTime {
			p.sentEvents[key] = now
			unsent = append(unsent, target)
		}
	}
	return unsent
}

// subscribe adds or renews a subscriber. It returns the datagrams to retransmit; if
// those lost are no longer buffered, a snapshot is scheduled.
func (p *publisher) subscribe(address string, req *subscribeRequest, now time.Time) (resend []feedDatagram) {
	s := p.subscribers[address]
	if s == nil {
		s = &subscriber{needsSnapshot: true}
		p.subscribers[address] = s
	}
	s.renewedAt = now
	if req.ResendFrom > 0 && !s.needsSnapshot {
		if resend = p.sentSince(req.ResendFrom); resend == nil {
			s.needsSnapshot = true
		}
	}
	s.needsSnapshot = s.needsSnapshot || req.Snapshot
	if s.needsSnapshot {
		p.wake()
	}
	return resend
}

// sentSince returns up to maxResend change datagrams from a sequence number on, nil if
// the first is not buffered.
func (p *publisher) sentSince(number uint64) []feedDatagram {
	first := p.sequence + 1 - uint64(len(p.sent))
	if number < first || number > p.sequence {
		return nil
	}
	resend := p.sent[number-first:]
	return resend[:min(maxResend, len(resend))]
}

// discardPending discards queued changes and events.
func (p *publisher) discardPending() { p.pending, p.events = nil, targetEvents{} }

// expire drops subscribers that timed out, and expired entries of sentEvents.
func (p *publisher) expire(now time.Time) {
	maps.DeleteFunc(p.subscribers, func(_ string, s *subscriber) bool { return now.Sub(s.renewedAt) > subscriptionTimeout })
	maps.DeleteFunc(p.sentEvents, func(_ eventKey, at time.Time) bool { return now.Sub(at) > eventDedupTime })
}

// batchDelay is how long changes are batched before they are sent.
func (p *publisher) batchDelay() time.Duration {
	delay := max(p.minDelay, time.Duration(len(p.subscribers))*perSubscriberDelay)
	if !p.events.empty() {
		delay = time.Duration(eventDelayFactor * float64(delay))
	}
	return max(minBatchDelay, delay)
}

// countsDue reports whether counts are to be sent now.
func (p *publisher) countsDue(now time.Time) bool { return now.Sub(p.countsSentAt) >= countsInterval }

// quarantineInterval is how often crash reports of contents that are quarantined, or
// nearly so, are resent with the counts. Without it, nodes that lost one of the
// reports might never quarantine the content.
const quarantineInterval = 2 * time.Second

// quarantineDue reports whether the crash reports of quarantined contents are to be sent
// now. If so, it records that they are.
func (p *publisher) quarantineDue(now time.Time) bool {
	if !p.countsDue(now) || now.Sub(p.quarantineSentAt) < quarantineInterval {
		return false
	}
	p.quarantineSentAt = now
	return true
}

// flush returns the datagrams with the changes, or a heartbeat if there are none, their
// recipients, and the subscribers that are to be sent a snapshot instead. It clears the
// pending changes and events; crash reports beyond maxFeedCrashes are dropped.
func (p *publisher) flush(r *relay, counts map[string]balance.Count, now time.Time) (changes []feedDatagram, recipients, unsynced []string) {
	first := feedDatagram{Scope: p.scope, Region: p.region, Ended: p.events.ended, Suspects: p.events.suspects, Silent: p.events.unresponsive}
	first.Crashes, _ = splitAt(p.events.crashes, maxFeedCrashes)
	if p.countsDue(now) {
		p.countsSentAt, first.Counts = now, counts
	}
	changes = p.datagrams(first, p.pending)
	if len(p.pending) == 0 && p.events.empty() && first.Counts == nil {
		changes[0].Sequence, changes[0].Heartbeat = p.sequence, true
	} else {
		for i := range changes {
			p.sequence++
			changes[i].Sequence = p.sequence
		}
		p.sent = append(p.sent, changes...)
		p.sent = p.sent[max(0, len(p.sent)-resendBuffer):]
	}
	p.discardPending()
	for address, s := range p.subscribers {
		if s.needsSnapshot && r.takeSnapshotBudget(p, now) {
			s.needsSnapshot = false
			unsynced = append(unsynced, address)
			continue
		}
		recipients = append(recipients, address) // one that awaits a snapshot still handles events
		if s.needsSnapshot {
			p.wake()
		}
	}
	return changes, recipients, unsynced
}

// snapshot returns the datagrams of the full state, recent target events included.
func (p *publisher) snapshot(r *relay, counts map[string]balance.Count, crashes []crashReport, now time.Time) []feedDatagram {
	first := feedDatagram{Scope: p.scope, Region: p.region, Counts: counts, Crashes: crashes}
	for key := range p.sentEvents {
		switch key.kind {
		case eventEnded:
			first.Ended = append(first.Ended, key.target)
		case eventSuspect:
			first.Suspects = append(first.Suspects, key.target)
		case eventUnresponsive:
			first.Silent = append(first.Silent, key.target)
		}
	}
	parts := p.datagrams(first, r.fullDeltas(p, now))
	for i := range parts {
		parts[i].Sequence, parts[i].Part, parts[i].Parts = p.sequence, i, len(parts)
	}
	return parts
}

// datagrams distributes deltas over datagrams, starting with the given first one.
func (p *publisher) datagrams(first feedDatagram, deltas []nodeDelta) []feedDatagram {
	parts := []feedDatagram{first}
	size := 0
	for _, s := range deltas {
		n := 1 + len(s.Runs) + len(s.Finished)/2 // of a finished run only the number is sent
		if size > 0 && size+n > maxDatagramRuns {
			parts = append(parts, feedDatagram{Scope: p.scope, Region: p.region})
			size = 0
		}
		last := &parts[len(parts)-1]
		last.Deltas = append(last.Deltas, s)
		size += n
	}
	return parts
}
