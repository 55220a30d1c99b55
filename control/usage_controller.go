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

// Times of metering on the leader.
const (
	// closeDelay is how long after its end a window is closed at the earliest:
	// what a node counts is here half a second later, and a second if a call
	// on the way gets no answer.
	closeDelay = 1500 * time.Millisecond
	// silenceShare is the part of the time until the counts are due for which
	// nodes that have fallen silent are waited for: most that were frozen or
	// cut off are back by then. The rest is for the call, with repeats and a
	// change of leader, which takes five of ten seconds.
	silenceShare = 0.4
	// retellTime is in which members and nodes tell a new leader everything
	// again.
	retellTime = 800 * time.Millisecond
	closeEvery = 100 * time.Millisecond // between two looks at the time
	// longWindow is from which length of windows on a note that one was told goes
	// into the log by itself: of shorter ones it goes with the next window's
	// counts. A new leader repeats what is not noted.
	longWindow = 10 * time.Second

	// callEvery is between two looks for a window to tell; the holder of the
	// duty paces what is sent.
	callEvery = 100 * time.Millisecond
	// mostRejected is how often the platform may reject a window before it is
	// given up for those behind it.
	mostRejected = 3
)

// usageSubject is what the calls about usage are about, all windows together.
const usageSubject duty.Subject = "usage"

// UsageController closes windows of metering on the leader, and brings the
// counts that the group has agreed on to the platform, in order.
type UsageController struct {
	member   *consensus.Member
	server   *Server
	state    *State
	clock    groupclock.Clock
	caller   duty.Caller
	reporter metering.Reporter
	cfg      metering.Config

	mu    sync.Mutex
	told  metering.Window // by this member
	stats UsageStats
}

// UsageStats are a controller's figures.
type UsageStats struct {
	Closed   uint64 // windows that this member has closed
	Told     uint64 // windows that this member has told the platform of
	GivenUp  uint64 // windows that the platform rejected again and again
	Failures uint64 // calls that were not known to be carried out
	Untold   int    // windows that the platform was not told of, as far as is noted
	Oldest   metering.Window
}

// NewUsageController returns a controller for a member's server, which needs
// its timekeeper and its reports before.
func NewUsageController(m *consensus.Member, s *Server, caller duty.Caller, reporter metering.Reporter, cfg metering.Config) *UsageController {
	return &UsageController{
		member: m, server: s, state: s.state, clock: s.timekeeper.Clock(), caller: caller, reporter: reporter, cfg: cfg,
	}
}

// Run closes and tells windows while this member leads, until ctx ends.
func (c *UsageController) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { c.closeAlways(ctx) })
	tasks.Go(func() { c.tellAlways(ctx) })
	tasks.Wait()
}

// Stats returns the controller's figures.
func (c *UsageController) Stats() UsageStats {
	w := c.state.usageWindows()
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.stats
	stats.Untold = len(w.Untold)
	if len(w.Untold) > 0 {
		stats.Oldest = w.Untold[0].Window
	}
	return stats
}

func (c *UsageController) closeAlways(ctx context.Context) {
	for pause.For(ctx, closeEvery) {
		for c.member.Leads() && c.closeNext(ctx) {
		}
	}
}

// closeNext closes the next window if it is time; true if another may be due.
func (c *UsageController) closeNext(ctx context.Context) bool {
	now, _, known := c.clock.Now()
	if !known || !c.state.inForce() {
		return false
	}
	w := c.state.usageWindows()
	if w.Next == 0 {
		return c.begin(ctx, c.cfg.Window(now))
	}
	ago := now.Sub(c.cfg.End(w.Next))
	if ago < closeDelay {
		return c.noteTold(ctx, &w)
	}
	standing := c.server.reports.standing(w.Next, ago)
	if !c.complete(standing, ago) {
		return false
	}
	if !c.agree(ctx, CloseWindow{Window: w.Next, Counts: standing.Counts, Told: c.toldHere()}) {
		return false
	}
	c.noteClosed()
	klog.InfoS("Window closed", "window", w.Next, "late_ms", ago.Milliseconds(), "requests", standing.Total, "accounts", len(standing.Counts),
		"rows", standing.Rows, "nodes", standing.Nodes, "silent", standing.Silent, "lastWord_ms", lastWord(standing.Sum))
	return true
}

// complete reports whether a window that ended a while ago is closed with what
// is known here.
func (c *UsageController) complete(s standing, ago time.Duration) bool {
	waited := ago >= time.Duration(silenceShare*float64(c.cfg.Due))
	return s.Led >= retellTime && (s.Silent == 0 || waited)
}

// lastWord is how old the newest word of a window's nodes is; -1 if there was
// none.
func lastWord(sum metering.Sum) int64 {
	if sum.Newest.IsZero() {
		return -1
	}
	return time.Since(sum.Newest).Milliseconds()
}

// begin has metering begin with a window.
func (c *UsageController) begin(ctx context.Context, first metering.Window) bool {
	ok := c.agree(ctx, CloseWindow{Window: first - 1, Begins: true})
	klog.InfoS("Metering begins", "window", first, "agreed", ok)
	return ok
}

// noteTold notes in the log what this member told the platform, where that
// has waited for the next window for long.
func (c *UsageController) noteTold(ctx context.Context, w *windows) bool {
	told := c.toldHere()
	if told <= w.Told || c.cfg.Span <= longWindow {
		return false
	}
	return c.agree(ctx, CloseWindow{Told: told})
}

func (c *UsageController) toldHere() metering.Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.told
}

func (c *UsageController) noteClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Closed++
}

// agree has the group agree on a command about windows.
func (c *UsageController) agree(ctx context.Context, command CloseWindow) bool {
	_, ok := c.server.agree(ctx, Command{Close: &command})
	return ok
}

// tellAlways tells the platform of closed windows, in order. A window is told
// again until the platform has it; the counts are those in the log.
func (c *UsageController) tellAlways(ctx context.Context) {
	var rejected rejections
	for pause.For(ctx, callEvery) {
		next, ok := c.nextUntold()
		if !ok || !c.caller.Held() {
			continue
		}
		outcome := c.tell(ctx, next)
		switch {
		case outcome == duty.Done:
			c.noteEnded(next.Window, true)
		case outcome == duty.Rejected && rejected.of(next.Window) >= mostRejected:
			klog.InfoS("Window given up", "window", next.Window, "why", "the platform rejects it")
			c.noteEnded(next.Window, false)
		default:
			c.noteFailure(outcome)
		}
	}
}

// rejections count how often the platform has rejected a window.
type rejections struct {
	window metering.Window
	times  int
}

// of counts one more rejection of a window and returns how many there were.
func (r *rejections) of(w metering.Window) int {
	if r.window != w {
		*r = rejections{window: w}
	}
	r.times++
	return r.times
}

// noteEnded notes that a window is not told again by this member: the platform
// has it, or it is given up.
func (c *UsageController) noteEnded(w metering.Window, told bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = w
	if told {
		c.stats.Told++
	} else {
		c.stats.GivenUp++
	}
}

func (c *UsageController) noteFailure(o duty.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o != duty.NotSent {
		c.stats.Failures++
	}
}

// nextUntold returns the oldest window that this member has not told of, as
// far as the log notes and it remembers.
func (c *UsageController) nextUntold() (ClosedWindow, bool) {
	told := c.toldHere()
	for _, w := range c.state.usageWindows().Untold {
		if w.Window > told {
			return w, true
		}
	}
	return ClosedWindow{}, false
}

// tell makes the call about a window once.
func (c *UsageController) tell(ctx context.Context, w ClosedWindow) duty.Outcome {
	began := time.Now()
	var token duty.Token
	outcome := c.caller.Do(ctx, duty.Call{
		Subject: usageSubject,
		Content: content(w),
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

// content tells windows' calls apart.
func content(w ClosedWindow) string {
	digest := xxhash.New()
	for _, account := range slices.Sorted(maps.Keys(w.Counts)) {
		writeRow(digest, account, w.Counts[account])
	}
	return strconv.FormatUint(uint64(w.Window), 10) + "/" + strconv.FormatUint(digest.Sum64(), 16)
}

// writeRow hashes a row; hashes take every write.
func writeRow(h hash.Hash, account string, count uint64) {
	h.Write(strconv.AppendQuote(nil, account))
	h.Write(strconv.AppendUint(nil, count, 10))
}
