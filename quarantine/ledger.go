package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// end is the end of a target under a run of a content.
type end struct {
	target   uint32
	standing Standing
	at       time.Time
	sent     time.Time // when the run was sent to the target
	later    bool      // see Note
}

// record is what is known of one content.
type record struct {
	ends  []end     // in order of time
	sound time.Time // when a run last went on well; zero for never
	held  bool      // as last looked at
}

// Ledger is what a node knows of contents under which targets ended. It is
// safe for concurrent use.
type Ledger struct {
	cfg Config

	mu       sync.Mutex
	records  map[Fingerprint]*record
	atTarget map[uint32][]Fingerprint // contents that were under way when it ended
	news     []numbered               // own notes, oldest first
	number   uint64                   // of the newest
	relooks  bool                     // contents are judged again soon
}

// numbered is an own note.
type numbered struct {
	number uint64
	note   Note
	at     time.Time // when the end or the good run was
}

// New returns a ledger that knows nothing.
func New(opts ...Option) *Ledger {
	cfg := Config{Now: uptime.Now, OnNews: func() {}, OnHeld: func(Fingerprint) {}, Hear: hearTime}
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Ledger{cfg: cfg, records: map[Fingerprint]*record{}, atTarget: map[uint32][]Fingerprint{}}
}

// OnNews sets what is called when there are own notes to be told.
func (l *Ledger) OnNews(f func()) { l.cfg.OnNews = f }

// OnHeld sets what is called when a content is held back from then on.
func (l *Ledger) OnHeld(f func(Fingerprint)) { l.cfg.OnHeld = f }

// Ended notes that a target ended under a run of this node.
func (l *Ledger) Ended(n Note) {
	if n.Standing == Settled {
		return
	}
	l.mu.Lock()
	now := l.cfg.Now()
	n.Later = l.isLater(n, now)
	if l.apply(n, now) {
		l.tell(n, now)
	}
	held := l.look(now)
	l.mu.Unlock()
	l.call(held, true)
}

// isLater reports whether a run was sent after all ends that are known of its
// content. The caller holds the mutex.
func (l *Ledger) isLater(n Note, now time.Time) bool {
	r := l.records[n.Content]
	return r == nil || len(r.ends) == 0 || !r.ends[len(r.ends)-1].at.After(now.Add(-n.Age-n.Ran))
}

// Sound notes that a run of a content went on well: what ended targets before
// was not this content.
func (l *Ledger) Sound(content Fingerprint) {
	l.mu.Lock()
	r := l.records[content]
	if r == nil || len(r.ends) == 0 {
		l.mu.Unlock()
		return
	}
	now := l.cfg.Now()
	note := Note{Content: content}
	l.apply(note, now)
	l.tell(note, now)
	held := l.look(now)
	l.mu.Unlock()
	l.call(held, true)
}

// Take takes another node's notes, and returns those that told something new.
func (l *Ledger) Take(notes []Note) (fresh []Note) {
	if len(notes) == 0 {
		return nil
	}
	l.mu.Lock()
	now := l.cfg.Now()
	for _, n := range notes {
		if l.apply(n, now) {
			fresh = append(fresh, n)
		}
	}
	var held []Fingerprint
	if len(fresh) > 0 {
		held = l.look(now)
	}
	l.mu.Unlock()
	l.call(held, false)
	return fresh
}

// Suspect reports whether targets ended under a content.
func (l *Ledger) Suspect(content Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[content]
	return r != nil && len(r.ends) > 0
}

// Held reports whether a content is held back, and for how long it will be
// unless more is learnt.
func (l *Ledger) Held(content Fingerprint) (left time.Duration, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[content]
	if r == nil || len(r.ends) == 0 {
		return 0, false
	}
	now := l.cfg.Now()
	since, held := l.judge(content, r, now, l.cfg.Hear)
	if !held {
		return 0, false
	}
	return max(since.Add(memoryTime).Sub(now), time.Second), true
}

// Undecided returns for how long a content that would be held back is not yet,
// since other nodes may know better; 0 for any other content.
func (l *Ledger) Undecided(content Fingerprint) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[content]
	if r == nil || len(r.ends) == 0 {
		return 0
	}
	now := l.cfg.Now()
	if _, held := l.judge(content, r, now, 0); !held {
		return 0
	}
	return max(0, l.cfg.Hear-now.Sub(r.ends[len(r.ends)-1].at))
}

// HeldContents returns how many contents are held back.
func (l *Ledger) HeldContents() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	n := 0
	for content, r := range l.records {
		if _, held := l.judge(content, r, now, l.cfg.Hear); held {
			n++
		}
	}
	return n
}

// SuspectContents returns how many contents targets have ended under.
func (l *Ledger) SuspectContents() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.records {
		if len(r.ends) > 0 {
			n++
		}
	}
	return n
}

// apply brings the records up to date, and reports whether a note told anything
// new. The caller holds the mutex, as for the methods below.
func (l *Ledger) apply(n Note, now time.Time) bool {
	at := now.Add(-max(0, n.Age))
	if now.Sub(at) > memoryTime {
		return false
	}
	r := l.records[n.Content]
	if n.Standing == Settled {
		return r != nil && l.clear(n.Content, r, at)
	}
	if weights[n.Standing] == 0 {
		return false // of a version to come
	}
	if r == nil {
		l.makeRoom(now)
		r = &record{}
		l.records[n.Content] = r
	}
	l.dropEnds(n.Content, r, func(e end) bool { return now.Sub(e.at) > memoryTime })
	e := end{target: n.Target, standing: n.Standing, at: at, sent: at.Add(-max(0, n.Ran)), later: n.Later}
	return e.at.After(r.sound) && l.add(n.Content, r, e)
}

// clear drops the ends before a good run.
func (l *Ledger) clear(content Fingerprint, r *record, at time.Time) bool {
	if !at.After(r.sound) {
		return false
	}
	r.sound = at
	before := len(r.ends)
	l.dropEnds(content, r, func(e end) bool { return !e.at.After(at) })
	return len(r.ends) < before
}

// dropEnds drops the ends of a content that are to go.
func (l *Ledger) dropEnds(content Fingerprint, r *record, goes func(end) bool) {
	var targets []uint32
	r.ends = slices.DeleteFunc(r.ends, func(e end) bool {
		if goes(e) {
			targets = append(targets, e.target)
			return true
		}
		return false
	})
	for _, target := range targets {
		if !slices.ContainsFunc(r.ends, func(e end) bool { return e.target == target }) {
			l.forgetAt(target, content)
		}
	}
}

// forgetAt forgets that a content was at a target that ended.
func (l *Ledger) forgetAt(target uint32, content Fingerprint) {
	l.atTarget[target] = slices.DeleteFunc(l.atTarget[target], func(f Fingerprint) bool { return f == content })
	if len(l.atTarget[target]) == 0 {
		delete(l.atTarget, target)
	}
}

// add notes an end, unless it is known.
func (l *Ledger) add(content Fingerprint, r *record, e end) bool {
	for i := range r.ends {
		if r.ends[i].same(e) {
			if r.ends[i].standing >= e.standing {
				return false
			}
			r.ends[i].standing = e.standing
			return true
		}
	}
	if len(r.ends) >= mostEnds {
		return false
	}
	i, _ := slices.BinarySearchFunc(r.ends, e, func(a, b end) int { return a.at.Compare(b.at) })
	r.ends = slices.Insert(r.ends, i, e)
	if !slices.Contains(l.atTarget[e.target], content) {
		l.atTarget[e.target] = append(l.atTarget[e.target], content)
	}
	return true
}

// same reports whether two words are of the same end of a target.
func (e end) same(other end) bool {
	return e.target == other.target && e.at.Sub(other.at).Abs() < sameEnd
}

// makeRoom forgets what is too old and, where that is not enough, a part of the
// contents: those that are not held back, and of these the ones whose newest
// end is oldest.
func (l *Ledger) makeRoom(now time.Time) {
	if len(l.records) < mostContents {
		return
	}
	for content, r := range l.records {
		l.dropEnds(content, r, func(e end) bool { return now.Sub(e.at) > memoryTime })
		if len(r.ends) == 0 {
			delete(l.records, content)
		}
	}
	if len(l.records) < mostContents {
		return
	}
	contents := slices.Collect(maps.Keys(l.records))
	slices.SortFunc(contents, func(a, b Fingerprint) int { return l.records[a].compare(l.records[b]) })
	for _, content := range contents[:mostContents/forgotten] {
		l.dropEnds(content, l.records[content], func(end) bool { return true })
		delete(l.records, content)
	}
}

// compare puts records in the order in which they are forgotten.
func (r *record) compare(other *record) int {
	if r.held != other.held {
		if other.held {
			return -1
		}
		return 1
	}
	return r.ends[len(r.ends)-1].at.Compare(other.ends[len(other.ends)-1].at)
}

// look judges every content that is not held yet, and returns those that are
// now. More about one can clear or convict another that shared its targets.
func (l *Ledger) look(now time.Time) (newly []Fingerprint) {
	for content, r := range l.records {
		if len(r.ends) < leastEnds && !r.held {
			continue
		}
		_, held := l.judge(content, r, now, l.cfg.Hear)
		if held && !r.held {
			newly = append(newly, content)
		}
		if r.held && !held {
			klog.InfoS("Content no longer held back", "content", content, "ends", len(r.ends))
		}
		r.held = held
		if held {
			continue
		}
		if _, soon := l.judge(content, r, now, 0); soon {
			l.lookAgain()
		}
	}
	return newly
}

// lookAgain has contents judged once more when their newest ends are old enough.
func (l *Ledger) lookAgain() {
	if l.relooks {
		return
	}
	l.relooks = true
	time.AfterFunc(l.cfg.Hear, func() {
		l.mu.Lock()
		l.relooks = false
		held := l.look(l.cfg.Now())
		l.mu.Unlock()
		l.call(held, false)
	})
}

// call tells what changed, without the mutex.
func (l *Ledger) call(held []Fingerprint, own bool) {
	for _, content := range held {
		klog.InfoS("Content held back", "content", content, "ownFinding", own)
		l.cfg.OnHeld(content)
	}
	if own {
		l.cfg.OnNews()
	}
}
