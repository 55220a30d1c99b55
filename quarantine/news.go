package quarantine

import (
	"slices"
	"time"
)

// resendTime is the age of a crash or successful run up to which its local report
// is included in full updates, in case an incremental update was lost.
const resendTime = 5 * time.Second

// criticalWeight is the weight from which the crashes of a content are included
// in full updates, so that a restarted node learns them: with one more crash of
// a Begun run the content reaches the quarantine threshold.
const criticalWeight = quarantineWeight - begunWeight

// maxCritical bounds the reports that criticalReports returns.
const maxCritical = 100

// enqueue stores a local report for distribution and drops the oldest reports
// beyond maxOutbox. The caller holds l.mu.
func (l *Ledger) enqueue(n Report, now time.Time) {
	l.lastNumber++
	l.outbox = append(l.outbox, numberedReport{number: l.lastNumber, report: n, at: now.Add(-n.Age)})
	l.outbox = l.outbox[max(0, len(l.outbox)-maxOutbox):]
}

// ReportsAfter returns the local reports after a sequence number, with their current
// ages, and the newest sequence number. Reports that enqueue dropped are missing.
func (l *Ledger) ReportsAfter(after uint64) ([]Report, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	var reports []Report
	for _, n := range l.outbox {
		if n.number > after {
			reports = append(reports, n.asOf(now))
		}
	}
	return reports, l.lastNumber
}

func (n numberedReport) asOf(now time.Time) Report {
	n.report.Age = now.Sub(n.at)
	return n.report
}

// AllReports returns a full update for a node that missed reports: local reports up
// to resendTime old, and the reports of CriticalReports. A report may be among both.
func (l *Ledger) AllReports() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	var reports []Report
	for _, n := range l.outbox {
		if now.Sub(n.at) <= resendTime {
			reports = append(reports, n.asOf(now))
		}
	}
	return append(reports, l.criticalReports(now)...)
}

// CriticalReports returns the newest crashes, local or not, of contents that are
// quarantined or close to it (see criticalWeight), at most maxCritical.
func (l *Ledger) CriticalReports() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.criticalReports(l.cfg.Now())
}

// criticalReports returns the newest crashes of contents whose crashes weigh at
// least criticalWeight, at most maxCritical. The caller holds l.mu.
func (l *Ledger) criticalReports(now time.Time) []Report {
	var reports []Report
	for content, r := range l.records {
		if weightOf(r.countedCrashes(now)) < criticalWeight {
			continue
		}
		for _, e := range r.crashes {
			reports = append(reports, Report{Content: content, Target: e.target, Standing: e.standing, Age: now.Sub(e.at), Ran: e.at.Sub(e.sent), Later: e.sentAfterKnown})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return int(a.Age - b.Age) })
	return reports[:min(maxCritical, len(reports))]
}
