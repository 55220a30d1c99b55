package quarantine

import (
	"slices"
	"time"
)

// repeatTime is how long a local note is included in full updates, in case an
// incremental update was lost.
const repeatTime = 5 * time.Second

// repeatWeight is the weight from which the crashes of a content are included
// in full updates, so that a restarted node learns them: one more crash
// quarantines the content.
const repeatWeight = heldWeight - begunWeight

// maxRepeated bounds the repeated notes in a full update.
const maxRepeated = 100

// enqueue stores a local note for distribution. The caller holds l.mu.
func (l *Ledger) enqueue(n Note, now time.Time) {
	l.lastNumber++
	l.outbox = append(l.outbox, numberedNote{number: l.lastNumber, note: n, at: now.Add(-n.Age)})
	l.outbox = l.outbox[max(0, len(l.outbox)-maxOutbox):]
}

// News returns the local notes after a sequence number, with their current
// ages, and the newest sequence number.
func (l *Ledger) News(after uint64) ([]Note, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	var notes []Note
	for _, n := range l.outbox {
		if n.number > after {
			notes = append(notes, n.asOf(now))
		}
	}
	return notes, l.lastNumber
}

func (n numberedNote) asOf(now time.Time) Note {
	n.note.Age = now.Sub(n.at)
	return n.note
}

// Everything returns a full update for a node that missed notes: recent local
// notes, and all crashes of contents that are quarantined or close to it.
func (l *Ledger) Everything() []Note {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	var notes []Note
	for _, n := range l.outbox {
		if now.Sub(n.at) <= repeatTime {
			notes = append(notes, n.asOf(now))
		}
	}
	return append(notes, l.severeNotes(now)...)
}

// Grave returns the crashes of contents that are quarantined or close to it.
func (l *Ledger) Grave() []Note {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.severeNotes(l.cfg.Now())
}

// severeNotes returns the crashes of contents that are quarantined or close to
// it, at most maxRepeated of the newest. The caller holds l.mu.
func (l *Ledger) severeNotes(now time.Time) []Note {
	var notes []Note
	for content, r := range l.records {
		if weightOf(r.countedCrashes(now)) < repeatWeight {
			continue
		}
		for _, e := range r.crashes {
			notes = append(notes, Note{Content: content, Target: e.target, Standing: e.standing, Age: now.Sub(e.at), Ran: e.at.Sub(e.sent), Later: e.sentAfterKnown})
		}
	}
	slices.SortFunc(notes, func(a, b Note) int { return int(a.Age - b.Age) })
	return notes[:min(maxRepeated, len(notes))]
}
