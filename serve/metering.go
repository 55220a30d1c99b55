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

// newRequestCounter returns a counter of the requests that an entry starts, which
// the client reports to the control group. It returns nil if metering is disabled.
func (p *Process) newRequestCounter() *metering.Counter {
	if !p.settings.Metering.Enabled() {
		return nil
	}
	clock := groupclock.NewFollower(groupclock.NewSteady())
	counter := metering.NewCounter(p.settings.Metering, clock)
	p.client.WithClock(clock)
	p.client.WithUsage(counter)
	return counter
}

// usage is the metering side of a control group member.
type usage struct {
	timekeeper *control.Timekeeper
	reports    *control.ReportCollector
	controller *control.UsageController
}

// newUsage returns the tasks that keep a member's group clock and collect the
// nodes' usage reports. It returns nil if neither metering nor scaling is enabled.
func (p *Process) newUsage(self peer.Identity, m *consensus.Member, server *control.Server) *usage {
	if !p.settings.Metering.Enabled() && !p.settings.Scales {
		return nil
	}
	u := &usage{
		timekeeper: control.NewTimekeeper(p.peers, self.Node, m, server),
		reports:    control.NewReportCollector(p.peers, m, server),
	}
	return u
}

// run starts the clock and the forwarding of reports to the leader.
func (u *usage) run(ctx context.Context) {
	if u == nil {
		return
	}
	go u.timekeeper.Run(ctx)
	go u.reports.Run(ctx)
}

// startUsageReporting starts the controller that closes usage windows and reports
// them to the platform while the member holds the duty. It does nothing if metering
// or duties are disabled.
func (p *Process) startUsageReporting(u *usage, m *consensus.Member, server *control.Server, holder *control.DutyHolder) error {
	if holder == nil || !p.settings.Metering.Enabled() {
		return nil
	}
	platform, err := p.adapter.Platform()
	if err != nil {
		return err
	}
	u.controller = control.NewUsageController(m, server, holder, platform, p.settings.Metering)
	go u.controller.Run(p.ctx)
	return nil
}

// writeMetrics writes a member's clock and metering metrics.
func (u *usage) writeMetrics(w io.Writer) {
	if u == nil {
		return
	}
	agreement := u.timekeeper.Agreement()
	fmt.Fprintf(w, "walnutramp_clock_members_heard %d\n", agreement.Samples)
	fmt.Fprintf(w, "walnutramp_clock_spread_seconds %g\n", agreement.Spread.Seconds())
	writeClock(w, u.timekeeper.Clock())
	if u.controller == nil {
		return
	}
	s := u.controller.Stats()
	fmt.Fprintf(w, "walnutramp_metering_windows_closed_total %d\n", s.Closed)
	fmt.Fprintf(w, "walnutramp_metering_windows_told_total %d\n", s.Reported)
	fmt.Fprintf(w, "walnutramp_metering_windows_given_up_total %d\n", s.GivenUp)
	fmt.Fprintf(w, "walnutramp_metering_calls_failed_total %d\n", s.Failures)
	fmt.Fprintf(w, "walnutramp_metering_windows_untold %d\n", s.Unreported)
	fmt.Fprintf(w, "walnutramp_metering_oldest_untold_window %d\n", s.Oldest)
}

// writeClock writes the uncertainty of the group clock and the offset of the
// host's clock from it. It writes nothing until the clock is synchronized.
func writeClock(w io.Writer, c groupclock.Clock) {
	now, uncertainty, known := c.Now()
	if !known {
		return
	}
	fmt.Fprintf(w, "walnutramp_clock_within_seconds %g\n", uncertainty.Seconds())
	fmt.Fprintf(w, "walnutramp_clock_ahead_seconds %g\n", time.Since(now).Seconds())
}

// writeCounter writes an entry's metering metrics.
func writeCounter(w io.Writer, c *metering.Counter) {
	if c == nil {
		return
	}
	s := c.Stats()
	fmt.Fprintf(w, "walnutramp_metering_rows %d\n", s.Rows)
	fmt.Fprintf(w, "walnutramp_metering_requests_dropped_total %d\n", s.Dropped)
	fmt.Fprintf(w, "walnutramp_metering_rows_told_total %d\n", s.Reported)
}
