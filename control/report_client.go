package control

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/fleet"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/metering"
	"k8s.io/klog/v2"
)

const (
	usageReportInterval = 200 * time.Millisecond // a killed node loses the counts since its last report
	usageReportTimeout  = 400 * time.Millisecond
	// usageKeepalive is the longest time between reports of a node with open
	// windows, so that a restarted member gets the counts again.
	usageKeepalive     = 800 * time.Millisecond
	finalReportTimeout = 300 * time.Millisecond // at a planned stop
	// nearMemberBackoff is how long after a failed report the nearby member is not
	// tried.
	nearMemberBackoff = 2 * time.Second
)

// DemandSource returns the demand at this node since its process started, by
// service.
type DemandSource func() []fleet.Demand

// WithUsage makes the client report the counter's usage to the control group. It
// is called before Start.
func (c *Client) WithUsage(counter *metering.Counter) { c.usage = counter }

// WithDemand makes the client report the demand for services to the control
// group. It is called before Start.
func (c *Client) WithDemand(source DemandSource) { c.demand = source }

// hasReports reports whether the client reports usage or demand.
func (c *Client) hasReports() bool { return c.usage != nil || c.demand != nil }

// reportUsageLoop reports usage and demand until the client is closed, and once
// more then if there is anything to report.
func (c *Client) reportUsageLoop() {
	t := usageReporter{client: c, incarnation: c.incarnation, acked: map[string]fleet.Demand{}}
	for pause.For(c.ctx, usageReportInterval) {
		t.send(c.ctx, usageReportTimeout)
	}
	t.send(context.WithoutCancel(c.ctx), finalReportTimeout)
}

// usageReporter reports a node's usage and demand to members of the control group.
type usageReporter struct {
	client       *Client
	incarnation  uint64 // identifies this process
	receiver     uint64 // instance ID of the member that has the reports; 0 for none
	sentAt       time.Time
	lastOpenAt   time.Time               // when there were last rows of open windows; zero for never
	acked        map[string]fleet.Demand // as last acknowledged, by service
	pending      []fleet.Demand          // in the report in flight
	member       walnutramp.NodeName     // last report's destination
	nearFailedAt time.Time               // when the nearby member last failed to answer
	fallback     walnutramp.NodeName     // destination if the nearby member fails; empty for none
}

// send sends one report if one is due.
func (t *usageReporter) send(ctx context.Context, limit time.Duration) {
	if !t.reportDue() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	args := t.buildReport()
	t.sentAt = time.Now()
	t.member = t.destination()
	var reply TellReply
	err := t.client.peers.Call(ctx, t.member, Service+".Tell", args, &reply)
	if err != nil || reply.Code != walnutramp.CodeOK {
		klog.V(1).InfoS("Usage report failed", "asked", t.member, "code", int(reply.Code), "err", err)
		t.handleFailure(reply.Leader)
		return
	}
	t.handleReply(reply)
}

// reportDue reports whether there are changes to report, or whether it is time to
// check that the receiver still has the earlier reports.
func (t *usageReporter) reportDue() bool {
	changed, open := len(t.changedDemand()) > 0, false
	if u := t.client.usage; u != nil {
		newRows, openRows := u.Waiting()
		changed, open = changed || newRows, t.expectsRows(openRows)
	}
	return changed || open && (t.receiver == 0 || time.Since(t.sentAt) >= usageKeepalive)
}

// expectsRows reports whether there are rows of open windows, or were within
// unresponsiveNodeTimeout. An idle node keeps reporting for as long as members wait for
// unresponsive nodes, so that it does not delay the close of a window.
func (t *usageReporter) expectsRows(open bool) bool {
	if open {
		t.lastOpenAt = time.Now()
	}
	return open || !t.lastOpenAt.IsZero() && time.Since(t.lastOpenAt) < unresponsiveNodeTimeout
}

// changedDemand returns the demand that has changed since it was acknowledged.
func (t *usageReporter) changedDemand() []fleet.Demand {
	if t.client.demand == nil {
		return nil
	}
	var changed []fleet.Demand
	for _, row := range t.client.demand() {
		if t.acked[row.Service] != row {
			changed = append(changed, row)
		}
	}
	return changed
}

func (t *usageReporter) buildReport() TellArgs {
	args := TellArgs{Node: t.client.self.Address, Life: t.incarnation, Demand: t.changedDemand()}
	if t.client.usage != nil {
		args.Usage = t.client.usage.Report(t.receiver == 0)
	}
	t.pending = args.Demand
	return args
}

// destination returns the member to report to: the nearby one if known, unless it failed
// within nearMemberBackoff; else the fallback; else a random one.
func (t *usageReporter) destination() walnutramp.NodeName {
	c := t.client
	if near := c.nearMember(); near != "" && time.Since(t.nearFailedAt) >= nearMemberBackoff {
		return near
	}
	if t.fallback != "" {
		return t.fallback
	}
	return c.randomMember()
}

// handleFailure makes the next report a complete one, to another member.
func (t *usageReporter) handleFailure(leader walnutramp.NodeName) {
	if t.member == t.client.nearMember() {
		t.nearFailedAt = time.Now()
	}
	t.fallback = leader
	t.resendAll()
}

// resendAll makes the next report a complete one.
func (t *usageReporter) resendAll() {
	t.receiver = 0
	clear(t.acked)
}

// handleReply records the acknowledgement of a report. If the receiver has
// changed, the next report is a complete one.
func (t *usageReporter) handleReply(reply TellReply) {
	t.fallback = t.member
	if t.receiver != 0 && t.receiver != reply.To {
		t.resendAll()
		return
	}
	t.receiver = reply.To
	for _, row := range t.pending {
		t.acked[row.Service] = row
	}
	if t.client.usage != nil {
		t.client.usage.RemoveThrough(reply.Closed)
	}
}

// nearMember returns the nearby member that takes this node's reports; empty if
// none is known.
func (c *Client) nearMember() walnutramp.NodeName {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reportMember
}

func (c *Client) setNearMember(near walnutramp.NodeName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportMember = near
}
