package serve

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/groupclock"
	"github.com/walnutramp/walnutramp/metering"
	"github.com/walnutramp/walnutramp/peer"
)

// meterEntry has an entry count the requests that begin, and tell the control
// group of them. It returns nil on a site without metering.
func (p *Process) meterEntry() *metering.Counter {
	if !p.settings.Metering.Enabled() {
		return nil
	}
	clock := groupclock.NewFollower(groupclock.NewSteady())
	counter := metering.NewCounter(p.settings.Metering, clock)
	p.client.WithClock(clock)
	p.client.WithUsage(counter)
	return counter
}

// usage is a member's part in metering.
type usage struct {
	timekeeper *control.Timekeeper
	reports    *control.Reports
	controller *control.UsageController
}

// meterReplica returns what has a member keep the group's time and take what
// nodes count, once it runs; nil on a site that needs neither.
func (p *Process) meterReplica(self peer.Identity, m *consensus.Member, answers *control.Server) *usage {
	if !p.settings.Metering.Enabled() && !p.settings.Scales {
		return nil
	}
	u := &usage{
		timekeeper: control.NewTimekeeper(p.peers, self.Node, m, answers),
		reports:    control.NewReports(p.peers, m, answers),
	}
	return u
}

// run starts keeping the time and passing reports on.
func (u *usage) run(ctx context.Context) {
	if u == nil {
		return
	}
	go u.timekeeper.Run(ctx)
	go u.reports.Run(ctx)
}

// reportUsage has the member close windows, and report them while it holds the
// duty.
func (p *Process) reportUsage(u *usage, m *consensus.Member, answers *control.Server, holder *control.DutyHolder) error {
	if holder == nil || !p.settings.Metering.Enabled() {
		return nil
	}
	platform, err := p.adapter.Platform()
	if err != nil {
		return err
	}
	u.controller = control.NewUsageController(m, answers, holder, platform, p.settings.Metering)
	go u.controller.Run(p.ctx)
	return nil
}

// writeMetrics writes what a member knows of metering.
func (u *usage) writeMetrics(w io.Writer) {
	if u == nil {
		return
	}
	agreed := u.timekeeper.Agreement()
	fmt.Fprintf(w, "walnutramp_clock_members_heard %d\n", agreed.Heard)
	fmt.Fprintf(w, "walnutramp_clock_spread_seconds %g\n", agreed.Spread.Seconds())
	writeClock(w, u.timekeeper.Clock())
	if u.controller == nil {
		return
	}
	s := u.controller.Stats()
	fmt.Fprintf(w, "walnutramp_metering_windows_closed_total %d\n", s.Closed)
	fmt.Fprintf(w, "walnutramp_metering_windows_told_total %d\n", s.Told)
	fmt.Fprintf(w, "walnutramp_metering_windows_given_up_total %d\n", s.GivenUp)
	fmt.Fprintf(w, "walnutramp_metering_calls_failed_total %d\n", s.Failures)
	fmt.Fprintf(w, "walnutramp_metering_windows_untold %d\n", s.Untold)
	fmt.Fprintf(w, "walnutramp_metering_oldest_untold_window %d\n", s.Oldest)
}

// writeClock writes by how much the group's clock may be off here, and how far
// ahead of it the host's own is; nothing while the time is not known.
func writeClock(w io.Writer, c groupclock.Clock) {
	now, within, known := c.Now()
	if !known {
		return
	}
	fmt.Fprintf(w, "walnutramp_clock_within_seconds %g\n", within.Seconds())
	fmt.Fprintf(w, "walnutramp_clock_ahead_seconds %g\n", time.Since(now).Seconds())
}

// writeCounter writes an entry's figures of metering.
func writeCounter(w io.Writer, c *metering.Counter) {
	if c == nil {
		return
	}
	s := c.Stats()
	fmt.Fprintf(w, "walnutramp_metering_rows %d\n", s.Rows)
	fmt.Fprintf(w, "walnutramp_metering_requests_dropped_total %d\n", s.Dropped)
	fmt.Fprintf(w, "walnutramp_metering_rows_told_total %d\n", s.Told)
}
