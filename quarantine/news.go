package quarantine

import (
	"slices"
	"time"
)

// againTime is for how long an own note is told again with everything there is:
// a word of it may have been lost.
const againTime = 5 * time.Second

// graveWeight is from which weight on what is known of a content is told again
// and again, so that a node that starts learns of it: one more end holds it.
const graveWeight = heldWeight - begunWeight

// mostGrave bounds what is told again, in notes.
const mostGrave = 100

// tell keeps an own note to be told. The caller holds the mutex.
func (l *Ledger) tell(n Note, now time.Time) {
	l.number++
	l.news = append(l.news, numbered{number: l.number, note: n, at: now.Add(-n.Age)})
	l.news = l.news[max(0, len(l.news)-mostNews):]
}

// News returns the own notes behind a number, as old as they are now, and the
// number of the newest.
func (l *Ledger) News(after uint64) ([]Note, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	var notes []Note
	for _, n := range l.news {
		if n.number > after {
			notes = append(notes, n.asOf(now))
		}
	}
	return notes, l.number
}

func (n numbered) asOf(now time.Time) Note {
	n.note.Age = now.Sub(n.at)
	return n.note
}

// Everything returns what a node that missed notes has to be told: own notes of
// late, and all ends of contents that are held back or nearly are.
func (l *Ledger) Everything() []Note {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	var notes []Note
	for _, n := range l.news {
		if now.Sub(n.at) <= againTime {
			notes = append(notes, n.asOf(now))
		}
	}
	return append(notes, l.grave(now)...)
}

// Grave returns the ends of contents that are held back or nearly are.
func (l *Ledger) Grave() []Note {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grave(l.cfg.Now())
}

// grave returns the ends of contents that are held back or nearly are, those of
// the newest ends where there are too many. The caller holds the mutex.
func (l *Ledger) grave(now time.Time) []Note {
	var notes []Note
	for content, r := range l.records {
		if weightOf(r.counted(now)) < graveWeight {
			continue
		}
		for _, e := range r.ends {
			notes = append(notes, Note{Content: content, Target: e.target, Standing: e.standing, Age: now.Sub(e.at), Ran: e.at.Sub(e.sent), Later: e.later})
		}
	}
	slices.SortFunc(notes, func(a, b Note) int { return int(a.Age - b.Age) })
	return notes[:min(mostGrave, len(notes))]
}
