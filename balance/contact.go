package balance

import "github.com/walnutramp/walnutramp/internal/uptime"

// A node that is cut off from targets sees them fail although they are sound. So it reports
// a failure to its peers only once another target of the service has shown that this
// node's own path stands.

// contact counts the signs that targets are reached.
type contact struct {
	connections uint64 // opened
	responses   uint64 // heads and events received
}

func (c contact) minus(other contact) contact {
	return contact{connections: c.connections - other.connections, responses: c.responses - other.responses}
}

// failureEvidence is what would show that a failed target is at fault, not the node's
// own path.
type failureEvidence struct {
	others  contact // of the service's other targets when it failed
	dialing bool    // no connection could be opened
}

// RecordEvent records that the target sent something: the head of a response or an event.
func (t *Target) RecordEvent() {
	t.tracker.mu.Lock()
	t.heardAt = uptime.Now()
	confirms := t.addContact(contact{responses: 1})
	t.tracker.mu.Unlock()
	if confirms {
		t.tracker.onChange()
	}
}

// addContact counts signs that the target is reached. It reports whether they may confirm
// failures that were not reported to peers so far. The caller holds the mutex.
func (t *Target) addContact(c contact) (confirms bool) {
	t.contact.connections += c.connections
	t.contact.responses += c.responses
	t.tracker.contacts += c.connections + c.responses
	p := t.tracker.poolOf(t.Service)
	p.contact.connections += c.connections
	p.contact.responses += c.responses
	confirms = p.unconfirmed || p.unconfirmedDial && c.connections > 0
	p.unconfirmed = false
	if c.connections > 0 {
		p.unconfirmedDial = false
	}
	return confirms
}

// otherContact returns the signs that the service's other targets are reached. The caller
// holds the mutex.
func (t *Target) otherContact() contact {
	return t.tracker.poolOf(t.Service).contact.minus(t.contact)
}

// Contacts returns a number that grows with each sign that any target is reached.
func (t *Tracker) Contacts() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contacts
}

// FailureConfirmed reports whether this node has reached another target of the service
// since the target failed, so that its path to them stood.
func (t *Target) FailureConfirmed() bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	return t.confirmedFailure()
}

// markFailure notes what is known of the service's other targets as the target fails. The
// caller holds the mutex.
func (t *Target) markFailure(dialing bool) {
	t.failure = failureEvidence{others: t.otherContact(), dialing: dialing}
	p := t.tracker.poolOf(t.Service)
	p.unconfirmed = p.unconfirmed || !dialing
	p.unconfirmedDial = p.unconfirmedDial || dialing
}

// confirmedFailure reports whether this node has reached another target of the service
// since the target failed. Open connections may live on while new ones fail, so responses
// do not confirm that a failed dial is the target's fault. The caller holds the mutex.
func (t *Target) confirmedFailure() bool {
	since := t.otherContact().minus(t.failure.others)
	return since.connections > 0 || since.responses > 0 && !t.failure.dialing
}
