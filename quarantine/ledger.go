package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// crash is a crash of a target while it ran a content.
type crash struct {
	target         uint32
	standing       Standing
	at             time.Time
	sent           time.Time // when the request was sent to the target
	sentAfterKnown bool      // see Report.Later
}

// record holds the crashes attributed to one content.
type record struct {
	crashes     []crash   // sorted by time
	lastSuccess time.Time // time of the last successful run, or zero
	quarantined bool      // result of the last evaluation
}

// Ledger records which contents were running on targets when these crashed, as
// known to this node. It is safe for concurrent use.
type Ledger struct {
	cfg Config

	mu                  sync.Mutex
	records             map[Fingerprint]*record
	atTarget            map[uint32][]Fingerprint // contents with a recorded crash of the target
	outbox              []numberedReport         // local reports, oldest first
	lastNumber          uint64                   // number of the newest local report
	evaluationScheduled bool                     // a re-evaluation is scheduled
}

// numberedReport is a local report with its sequence number.
type numberedReport struct {
	number uint64
	report Report
	at     time.Time // time of the crash or of the successful run
}

// New returns an empty ledger.
func New(opts ...Option) *Ledger {
	cfg := Config{Now: uptime.Now, OnReport: func() {}, OnQuarantined: func(Fingerprint) {}, ReportDelay: reportDelay}
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Ledger{cfg: cfg, records: map[Fingerprint]*record{}, atTarget: map[uint32][]Fingerprint{}}
}

// OnReport sets the callback that RecordCrash and RecordSuccess make without the lock, the
// former also if the crash was known. It must be set before the ledger is used.
func (l *Ledger) OnReport(f func()) { l.cfg.OnReport = f }

// OnQuarantined sets the callback for newly quarantined contents. It must be set before the
// ledger is used.
func (l *Ledger) OnQuarantined(f func(Fingerprint)) { l.cfg.OnQuarantined = f }

// RecordCrash records that a target crashed during a run from this node. It ignores
// Settled runs.
func (l *Ledger) RecordCrash(n Report) {
	if n.Standing == Settled {
		return
	}
	l.mu.Lock()
	now := l.cfg.Now()
	n.Later = l.sentAfterKnownCrashes(n, now)
	if l.apply(n, now) {
		l.enqueue(n, now)
	}
	quarantined := l.evaluate(now)
	l.mu.Unlock()
	l.notify(quarantined, true)
}

// sentAfterKnownCrashes reports whether a run was sent after all known crashes
// of its content. The caller holds l.mu.
func (l *Ledger) sentAfterKnownCrashes(n Report, now time.Time) bool {
	r := l.records[n.Content]
	return r == nil || len(r.crashes) == 0 || !r.crashes[len(r.crashes)-1].at.After(now.Add(-n.Age-n.Ran))
}

// RecordSuccess records a successful run of a content, which clears the content of
// earlier crashes. It does nothing for a content without crashes.
func (l *Ledger) RecordSuccess(content Fingerprint) {
	l.mu.Lock()
	r := l.records[content]
	if r == nil || len(r.crashes) == 0 {
		l.mu.Unlock()
		return
	}
	now := l.cfg.Now()
	report := Report{Content: content}
	l.apply(report, now)
	l.enqueue(report, now)
	quarantined := l.evaluate(now)
	l.mu.Unlock()
	l.notify(quarantined, true)
}

// Merge merges reports of another node and returns those that changed the ledger.
// Report.Age is relative to the time of the call.
func (l *Ledger) Merge(reports []Report) (fresh []Report) {
	if len(reports) == 0 {
		return nil
	}
	l.mu.Lock()
	now := l.cfg.Now()
	for _, n := range reports {
		if l.apply(n, now) {
			fresh = append(fresh, n)
		}
	}
	var quarantined []Fingerprint
	if len(fresh) > 0 {
		quarantined = l.evaluate(now)
	}
	l.mu.Unlock()
	l.notify(quarantined, false)
	return fresh
}

// Suspect reports whether any crash is attributed to a content.
func (l *Ledger) Suspect(content Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[content]
	return r != nil && len(r.crashes) > 0
}

// Quarantined reports whether a content is quarantined, and for how long unless its
// evaluation changes.
func (l *Ledger) Quarantined(content Fingerprint) (left time.Duration, quarantined bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[content]
	if r == nil || len(r.crashes) == 0 {
		return 0, false
	}
	now := l.cfg.Now()
	since, quarantined := l.judge(content, r, now, l.cfg.ReportDelay)
	if !quarantined {
		return 0, false
	}
	return max(since.Add(retention).Sub(now), time.Second), true
}

// DecisionDelay returns how long it takes until the newest crash of a content is old enough
// to count (Config.ReportDelay), if the content would then be quarantined by the crashes
// known now; 0 for any other content.
func (l *Ledger) DecisionDelay(content Fingerprint) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[content]
	if r == nil || len(r.crashes) == 0 {
		return 0
	}
	now := l.cfg.Now()
	if _, quarantined := l.judge(content, r, now, 0); !quarantined {
		return 0
	}
	return max(0, l.cfg.ReportDelay-now.Sub(r.crashes[len(r.crashes)-1].at))
}

// QuarantinedContents returns the number of quarantined contents.
func (l *Ledger) QuarantinedContents() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	n := 0
	for content, r := range l.records {
		if _, quarantined := l.judge(content, r, now, l.cfg.ReportDelay); quarantined {
			n++
		}
	}
	return n
}

// SuspectContents returns the number of contents with attributed crashes.
func (l *Ledger) SuspectContents() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.records {
		if len(r.crashes) > 0 {
			n++
		}
	}
	return n
}

// apply merges a report into the records and reports whether they changed. The
// caller holds l.mu, as for the methods below.
func (l *Ledger) apply(n Report, now time.Time) bool {
	at := now.Add(-max(0, n.Age))
	if now.Sub(at) > retention {
		return false
	}
	r := l.records[n.Content]
	if n.Standing == Settled {
		return r != nil && l.clear(n.Content, r, at)
	}
	if weights[n.Standing] == 0 {
		return false // standing of a newer software version
	}
	if r == nil {
		l.evict(now)
		r = &record{}
		l.records[n.Content] = r
	}
	l.removeCrashes(n.Content, r, func(e crash) bool { return now.Sub(e.at) > retention })
	e := crash{target: n.Target, standing: n.Standing, at: at, sent: at.Add(-max(0, n.Ran)), sentAfterKnown: n.Later}
	return e.at.After(r.lastSuccess) && l.insert(n.Content, r, e)
}

// clear removes crashes that precede a successful run, and reports whether
// there were any.
func (l *Ledger) clear(content Fingerprint, r *record, at time.Time) bool {
	if !at.After(r.lastSuccess) {
		return false
	}
	r.lastSuccess = at
	before := len(r.crashes)
	l.removeCrashes(content, r, func(e crash) bool { return !e.at.After(at) })
	return len(r.crashes) < before
}

// removeCrashes removes the crashes of a content for which expired is true.
func (l *Ledger) removeCrashes(content Fingerprint, r *record, expired func(crash) bool) {
	var targets []uint32
	r.crashes = slices.DeleteFunc(r.crashes, func(e crash) bool {
		if expired(e) {
			targets = append(targets, e.target)
			return true
		}
		return false
	})
	for _, target := range targets {
		if !slices.ContainsFunc(r.crashes, func(e crash) bool { return e.target == target }) {
			l.unlink(target, content)
		}
	}
}

// unlink removes a content from a crashed target's index entry.
func (l *Ledger) unlink(target uint32, content Fingerprint) {
	l.atTarget[target] = slices.DeleteFunc(l.atTarget[target], func(f Fingerprint) bool { return f == content })
	if len(l.atTarget[target]) == 0 {
		delete(l.atTarget, target)
	}
}

// insert inserts a crash unless it is known or the content has maxCrashes; a
// higher standing replaces the known one. It reports whether anything changed.
func (l *Ledger) insert(content Fingerprint, r *record, e crash) bool {
	for i := range r.crashes {
		if r.crashes[i].same(e) {
			if r.crashes[i].standing >= e.standing {
				return false
			}
			r.crashes[i].standing = e.standing
			return true
		}
	}
	if len(r.crashes) >= maxCrashes {
		return false
	}
	i, _ := slices.BinarySearchFunc(r.crashes, e, func(a, b crash) int { return a.at.Compare(b.at) })
	r.crashes = slices.Insert(r.crashes, i, e)
	if !slices.Contains(l.atTarget[e.target], content) {
		l.atTarget[e.target] = append(l.atTarget[e.target], content)
	}
	return true
}

// same reports whether two reports refer to the same crash.
func (e crash) same(other crash) bool {
	return e.target == other.target && e.at.Sub(other.at).Abs() < sameCrashWindow
}

// evict removes expired crashes and, if the ledger is still full, a fraction of
// the contents: those not quarantined first, then by oldest last crash.
func (l *Ledger) evict(now time.Time) {
	if len(l.records) < maxContents {
		return
	}
	for content, r := range l.records {
		l.removeCrashes(content, r, func(e crash) bool { return now.Sub(e.at) > retention })
		if len(r.crashes) == 0 {
			delete(l.records, content)
		}
	}
	if len(l.records) < maxContents {
		return
	}
	contents := slices.Collect(maps.Keys(l.records))
	slices.SortFunc(contents, func(a, b Fingerprint) int { return l.records[a].compare(l.records[b]) })
	for _, content := range contents[:maxContents/evictionDivisor] {
		l.removeCrashes(content, l.records[content], func(crash) bool { return true })
		delete(l.records, content)
	}
}

// compare orders records for eviction: those to be evicted first sort first. Both must
// have crashes.
func (r *record) compare(other *record) int {
	if r.quarantined != other.quarantined {
		if other.quarantined {
			return -1
		}
		return 1
	}
	return r.crashes[len(r.crashes)-1].at.Compare(other.crashes[len(other.crashes)-1].at)
}

// evaluate judges all contents and returns the newly quarantined ones. New
// evidence about one content can affect others that shared its targets.
func (l *Ledger) evaluate(now time.Time) (newlyQuarantined []Fingerprint) {
	for content, r := range l.records {
		if len(r.crashes) < minCrashes && !r.quarantined {
			continue
		}
		_, quarantined := l.judge(content, r, now, l.cfg.ReportDelay)
		if quarantined && !r.quarantined {
			newlyQuarantined = append(newlyQuarantined, content)
		}
		if r.quarantined && !quarantined {
			klog.InfoS("Content no longer held back", "content", content, "ends", len(r.crashes))
		}
		r.quarantined = quarantined
		if quarantined {
			continue
		}
		if _, pending := l.judge(content, r, now, 0); pending {
			l.scheduleEvaluation()
		}
	}
	return newlyQuarantined
}

// scheduleEvaluation evaluates all contents again when their newest crashes are
// old enough.
func (l *Ledger) scheduleEvaluation() {
	if l.evaluationScheduled {
		return
	}
	l.evaluationScheduled = true
	time.AfterFunc(l.cfg.ReportDelay, func() {
		l.mu.Lock()
		l.evaluationScheduled = false
		quarantined := l.evaluate(l.cfg.Now())
		l.mu.Unlock()
		l.notify(quarantined, false)
	})
}

// notify runs the callbacks. The caller must not hold l.mu.
func (l *Ledger) notify(newly []Fingerprint, local bool) {
	for _, content := range newly {
		klog.InfoS("Content held back", "content", content, "ownFinding", local)
		l.cfg.OnQuarantined(content)
	}
	if local {
		l.cfg.OnReport()
	}
}
