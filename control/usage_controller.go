package control

import (
	"context"
	"hash"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/groupclock"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/metering"
	"k8s.io/klog/v2"
)

const (
	// closeDelay is the minimum time between the end of a window and its close.
	// A count arrives half a second after its request, or a second if a call on the way
	// gets no answer.
	closeDelay = 1500 * time.Millisecond
	// unresponsiveWaitShare is the share of Config.Due for which the close of a window
	// waits at most for unresponsive nodes; most that froze or were cut off are back by
	// then. The rest is for the call to the platform, including retries and a leader
	// change, which take five of ten seconds.
	unresponsiveWaitShare = 0.4
	// usageResyncTime is how long members and nodes take to resend everything to
	// a new leader.
	usageResyncTime = 800 * time.Millisecond
	closeInterval   = 100 * time.Millisecond
	// longWindow is the window length above which a successful report is
	// committed at once. For shorter windows it is committed with the close of the
	// next window. A new leader repeats reports that are not committed.
	longWindow = 10 * time.Second

	// usageCallInterval is the time between checks for a window to report; the duty
	// holder limits the call rate.
	usageCallInterval = 100 * time.Millisecond
	// maxRejections is how often the platform may reject a window before it is
	// dropped in favor of later ones.
	maxRejections = 3
)

// usageSubject is the subject of the calls for all windows.
const usageSubject duty.Subject = "usage"

// UsageController closes metering windows on the leader and reports the committed
// counts to the platform in order.
type UsageController struct {
	member   *consensus.Member
	server   *Server
	state    *State
	clock    groupclock.Clock
	caller   duty.Caller
	reporter metering.Reporter
	cfg      metering.Config

	mu       sync.Mutex
	finished metering.Window // newest that this member reported or dropped; 0 for none
	stats    UsageStats
}

// UsageStats are the counters of a UsageController. Oldest is the oldest window counted
// by Unreported; 0 for none.
type UsageStats struct {
	Closed     uint64 // windows closed by this member
	Reported   uint64 // windows reported to the platform by this member
	GivenUp    uint64 // windows dropped after maxRejections
	Failures   uint64 // calls that failed or had no clear outcome
	Unreported int    // closed windows not yet recorded as reported
	Oldest     metering.Window
}

// NewUsageController returns a UsageController for a member's server, whose
// Timekeeper and ReportCollector must exist already.
func NewUsageController(m *consensus.Member, s *Server, caller duty.Caller, reporter metering.Reporter, cfg metering.Config) *UsageController {
	return &UsageController{
		member: m, server: s, state: s.state, clock: s.timekeeper.Clock(), caller: caller, reporter: reporter, cfg: cfg,
	}
}

// Run closes and reports windows while this member leads, until ctx is done.
func (c *UsageController) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { c.closeLoop(ctx) })
	tasks.Go(func() { c.reportLoop(ctx) })
	tasks.Wait()
}

// Stats returns the counters.
func (c *UsageController) Stats() UsageStats {
	w := c.state.usageWindows()
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.stats
	stats.Unreported = len(w.Untold)
	if len(w.Untold) > 0 {
		stats.Oldest = w.Untold[0].Window
	}
	return stats
}

func (c *UsageController) closeLoop(ctx context.Context) {
	for pause.For(ctx, closeInterval) {
		for c.member.Leads() && c.closeNext(ctx) {
		}
	}
}

// closeNext closes the next window if it is time; true if another may be due.
func (c *UsageController) closeNext(ctx context.Context) bool {
	now, _, known := c.clock.Now()
	if !known || !c.state.hasDocument() {
		return false
	}
	w := c.state.usageWindows()
	if w.Next == 0 {
		return c.startMetering(ctx, c.cfg.Window(now))
	}
	ago := now.Sub(c.cfg.End(w.Next))
	if ago < closeDelay {
		return c.recordFinished(ctx, &w)
	}
	status := c.server.reports.windowStatus(w.Next, ago)
	if !c.readyToClose(status, ago) {
		return false
	}
	if !c.commit(ctx, CloseWindow{Window: w.Next, Counts: status.Counts, Told: c.lastFinished()}) {
		return false
	}
	c.countClosed()
	klog.InfoS("Window closed", "window", w.Next, "late_ms", ago.Milliseconds(), "requests", status.Total, "accounts", len(status.Counts),
		"rows", status.Rows, "nodes", status.Nodes, "silent", status.Unresponsive, "lastWord_ms", newestReportAge(status.Sum))
	return true
}

// readyToClose reports whether a window that ended a given time ago can be closed
// with the counts at hand.
func (c *UsageController) readyToClose(status windowStatus, ago time.Duration) bool {
	waited := ago >= time.Duration(unresponsiveWaitShare*float64(c.cfg.Due))
	return status.Led >= usageResyncTime && (status.Unresponsive == 0 || waited)
}

// newestReportAge returns the age of the newest report for a window in
// milliseconds; -1 if there is none.
func newestReportAge(sum metering.Sum) int64 {
	if sum.Newest.IsZero() {
		return -1
	}
	return time.Since(sum.Newest).Milliseconds()
}

// startMetering commits the first window of metering.
func (c *UsageController) startMetering(ctx context.Context, first metering.Window) bool {
	ok := c.commit(ctx, CloseWindow{Window: first - 1, Begins: true})
	klog.InfoS("Metering started", "window", first, "agreed", ok)
	return ok
}

// recordFinished commits the newest reported or dropped window if windows are long.
// Otherwise a leader elected before the next close would report it again.
func (c *UsageController) recordFinished(ctx context.Context, w *windows) bool {
	finished := c.lastFinished()
	if finished <= w.Told || c.cfg.Span <= longWindow {
		return false
	}
	return c.commit(ctx, CloseWindow{Told: finished})
}

func (c *UsageController) lastFinished() metering.Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished
}

func (c *UsageController) countClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Closed++
}

// commit proposes a command about windows and waits until it is committed.
func (c *UsageController) commit(ctx context.Context, command CloseWindow) bool {
	_, ok := c.server.proposeOwn(ctx, Command{Close: &command})
	return ok
}

// reportLoop reports closed windows to the platform in order. It repeats a window,
// with the committed counts, until the platform has it.
func (c *UsageController) reportLoop(ctx context.Context) {
	var rejected rejections
	for pause.For(ctx, usageCallInterval) {
		next, ok := c.nextUnfinished()
		if !ok || !c.caller.Held() {
			continue
		}
		outcome := c.report(ctx, next)
		switch {
		case outcome == duty.Done:
			c.finishWindow(next.Window, true)
		case outcome == duty.Rejected && rejected.add(next.Window) >= maxRejections:
			klog.InfoS("Window given up", "window", next.Window, "why", "rejected by the platform")
			c.finishWindow(next.Window, false)
		default:
			c.countFailure(outcome)
		}
	}
}

// rejections counts the rejections of one window.
type rejections struct {
	window metering.Window
	count  int
}

// add counts a rejection of a window and returns their number so far.
func (r *rejections) add(w metering.Window) int {
	if r.window != w {
		*r = rejections{window: w}
	}
	r.count++
	return r.count
}

// finishWindow records that this member is done with a window: it was reported, or
// it is dropped.
func (c *UsageController) finishWindow(w metering.Window, reported bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = w
	if reported {
		c.stats.Reported++
	} else {
		c.stats.GivenUp++
	}
}

func (c *UsageController) countFailure(o duty.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o != duty.NotSent {
		c.stats.Failures++
	}
}

// nextUnfinished returns the oldest closed window that neither the log nor this
// member has recorded as reported or dropped.
func (c *UsageController) nextUnfinished() (ClosedWindow, bool) {
	finished := c.lastFinished()
	for _, w := range c.state.usageWindows().Untold {
		if w.Window > finished {
			return w, true
		}
	}
	return ClosedWindow{}, false
}

// report makes one attempt to report a window.
func (c *UsageController) report(ctx context.Context, w ClosedWindow) duty.Outcome {
	began := time.Now()
	var token duty.Token
	outcome := c.caller.Do(ctx, duty.Call{
		Subject: usageSubject,
		Content: callContent(w),
		Send: func(ctx context.Context, p duty.Permission) duty.Outcome {
			token = p.Token
			return c.reporter.ReportUsage(ctx, p, w.Window, w.Counts)
		},
	})
	if outcome != duty.NotSent {
		klog.InfoS("Window told", "window", w.Window, "token", token, "outcome", outcome, "ms", time.Since(began).Milliseconds())
	}
	return outcome
}

// callContent returns the content of the call for a window: its number and a digest
// of its counts.
func callContent(w ClosedWindow) string {
	digest := xxhash.New()
	for _, account := range slices.Sorted(maps.Keys(w.Counts)) {
		writeRow(digest, account, w.Counts[account])
	}
	return strconv.FormatUint(uint64(w.Window), 10) + "/" + strconv.FormatUint(digest.Sum64(), 16)
}

// writeRow adds a row to a hash, whose Write never fails.
func writeRow(h hash.Hash, account string, count uint64) {
	h.Write(strconv.AppendQuote(nil, account))
	h.Write(strconv.AppendUint(nil, count, 10))
}
