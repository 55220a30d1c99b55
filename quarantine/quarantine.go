// Package quarantine detects requests whose content crashes the targets that
// run them (queries of death) and keeps them away from further targets.
//
// Such a request would otherwise be retried on other targets, by the gateway
// and by its client. Nodes record in a Ledger which contents were running on a
// target when it crashed, exchange these records, and quarantine a content
// after three independent crashes. Contents that merely shared the target are
// told apart by the progress of their runs, by how many of the crashes they
// were involved in, and by successful runs elsewhere.
package quarantine

import "time"

// Standing is the progress of a run when its target crashed.
type Standing int

// Standings, in order of increasing suspicion.
const (
	// Settled: had been running for a while, so the target can run it. In a Report it
	// means a successful run.
	Settled Standing = iota
	// Waiting: no output yet; the run may not have started.
	Waiting
	// Begun: had just started, or may have.
	Begun
)

var standingNames = map[Standing]string{Settled: "settled", Waiting: "waiting", Begun: "begun"}

// String returns the standing as it is logged.
func (s Standing) String() string { return standingNames[s] }

// Onset is how long after its first output a run counts as Begun.
const Onset = 500 * time.Millisecond

// Weights of crashes.
const (
	begunWeight = 2
	// waitingWeight is lower, since most runs that wait at a crashing target
	// have not started.
	waitingWeight = 1
	// quarantineWeight is the quarantine threshold, three crashes of Begun runs.
	quarantineWeight = 3 * begunWeight
	// tiedWeight is the quarantine threshold for a content that shared all its
	// crashes with another one, so that neither can be cleared.
	tiedWeight = 5 * begunWeight
	// minCrashes is the least number of crashes that reach quarantineWeight.
	minCrashes = quarantineWeight / begunWeight
)

var weights = map[Standing]int{Waiting: waitingWeight, Begun: begunWeight}

// Time windows of the evaluation.
const (
	// retention is how long a crash counts. A content can therefore crash up to
	// three targets an hour until the targets are fixed.
	retention = time.Hour
	// sameCrashWindow is the window in which two reports refer to the same
	// crash: a target takes longer than that to restart and start a run.
	sameCrashWindow = time.Second
	// commonCauseWindow is the window in which crashes are attributed to a
	// common cause, such as the loss of a data hall, and count as one, unless the
	// later run was sent after the earlier crash.
	commonCauseWindow = 250 * time.Millisecond
	// clockError bounds the error of times received from other nodes, caused by
	// network delay.
	clockError = 20 * time.Millisecond
	// reportDelay is the minimum age of a crash that counts for quarantine, so
	// that reports of other nodes, also from other regions, arrive first.
	// Without it, a request that shared its targets with the culprit may be
	// quarantined on partial evidence.
	reportDelay = 250 * time.Millisecond
)

// Size limits.
const (
	maxContents     = 4096 // about 300 bytes each
	evictionDivisor = 8    // fraction evicted when full: 1/8
	maxCrashes      = 16   // per content
	maxOutbox       = 256  // local reports kept for distribution
)

// Report is a crash or successful run reported between nodes.
type Report struct {
	Content  Fingerprint
	Target   uint32        // shortname.Of the crashed target
	Standing Standing      // standing of the run; Settled reports a successful run
	Age      time.Duration // time since the crash or the successful run
	Ran      time.Duration // time from sending the request to the crash
	// Later reports that the request was sent after all crashes of its content
	// known to the node. Times received from other nodes are accurate only to within
	// clockError.
	Later bool
}

// Config configures a Ledger.
type Config struct {
	Now           func() time.Time  // clock that includes time suspended
	OnReport      func()            // called after each local crash or successful run, see Ledger.OnReport
	OnQuarantined func(Fingerprint) // called when a content is newly quarantined
	ReportDelay   time.Duration     // minimum age of a crash that counts for quarantine
}

// Option sets a field of Config.
type Option func(*Config)

// WithReportDelay sets the minimum age of a crash that counts for quarantine.
func WithReportDelay(d time.Duration) Option { return func(c *Config) { c.ReportDelay = d } }

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(c *Config) { c.Now = now } }
