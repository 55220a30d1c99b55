package quarantine

import (
	"slices"
	"time"
)

// repeatTime is the age of a crash or successful run up to which its local note
// is included in full updates, in case an incremental update was lost.
const repeatTime = 5 * time.Second

// severeWeight is the weight from which the crashes of a content are included
// in full updates, so that a restarted node learns them: with one more crash of
// a Begun run the content reaches the quarantine threshold.
const severeWeight = heldWeight - begunWeight

// maxSevere bounds the notes that severeNotes returns.
const maxSevere = 100

// enqueue stores a local note for distribution and drops the oldest notes
// beyond maxOutbox. The caller holds l.mu.
func (l *Ledger) enqueue(n Report, now time.Time) {
	l.lastNumber++
	l.outbox = append(l.outbox, numberedNote{number: l.lastNumber, note: n, at: now.Add(-n.Age)})
	l.outbox = l.outbox[max(0, len(l.outbox)-maxOutbox):]
}

// ReportsAfter returns the local notes after a sequence number, with their current
// ages, and the newest sequence number. Notes that enqueue dropped are missing.
func (l *Ledger) ReportsAfter(after uint64) ([]Report, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	var notes []Report
	for _, n := range l.outbox {
		if n.number > after {
			notes = append(notes, n.asOf(now))
		}
	}
	return notes, l.lastNumber
}

func (n numberedNote) asOf(now time.Time) Report {
	n.note.Age = now.Sub(n.at)
	return n.note
}

// AllReports returns a full update for a node that missed notes: local notes up
// to repeatTime old, and the notes of Grave. A note may be among both.
func (l *Ledger) AllReports() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	var notes []Report
	for _, n := range l.outbox {
		if now.Sub(n.at) <= repeatTime {
			notes = append(notes, n.asOf(now))
		}
	}
	return append(notes, l.severeNotes(now)...)
}

// CriticalReports returns the newest crashes, local or not, of contents that are
// quarantined or close to it (see severeWeight), at most maxSevere.
func (l *Ledger) CriticalReports() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.severeNotes(l.cfg.Now())
}

// severeNotes returns the newest crashes of contents whose crashes weigh at
// least severeWeight, at most maxSevere. The caller holds l.mu.
func (l *Ledger) severeNotes(now time.Time) []Report {
	var notes []Report
	for content, r := range l.records {
		if weightOf(r.countedCrashes(now)) < severeWeight {
			continue
		}
		for _, e := range r.crashes {
			notes = append(notes, Report{Content: content, Target: e.target, Standing: e.standing, Age: now.Sub(e.at), Ran: e.at.Sub(e.sent), Later: e.sentAfterKnown})
		}
	}
	slices.SortFunc(notes, func(a, b Report) int { return int(a.Age - b.Age) })
	return notes[:min(maxSevere, len(notes))]
}
