package control

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/fleet"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/metering"
	"k8s.io/klog/v2"
)

const (
	// forwardInterval is the time between calls to the leader.
	forwardInterval = 100 * time.Millisecond
	forwardTimeout  = 400 * time.Millisecond
	// forwardKeepalive is the longest time between calls, so that a restarted
	// leader gets everything again.
	forwardKeepalive = 500 * time.Millisecond
	// reportDelay is the time after a window's end from which a node's report
	// covers the whole window: requests are counted when they are answered.
	reportDelay = usageReportInterval + 2*forwardInterval
	// unresponsiveNodeTimeout is how long windows wait for a node after its last report;
	// after that the node counts as gone.
	unresponsiveNodeTimeout = 10 * time.Second
	// sourceRetention is how long the reports of an unresponsive node are kept.
	sourceRetention = 1 * time.Minute
)

// DemandFunc receives the demand that a node reported. Counts only grow while the
// node's process runs; a report may be delivered more than once.
type DemandFunc func(node string, incarnation uint64, rows []fleet.Demand)

// ReportCollector collects the usage and demand that nodes report to this member and
// forwards them to the leader. A new leader gets all reports of windows that are
// not closed.
type ReportCollector struct {
	peers      Peers
	member     *consensus.Member
	state      *State
	instanceID uint64 // identifies this process; not 0

	mu          sync.Mutex
	sink        DemandFunc // receives the demand on the leader; may be nil
	aggregator  *metering.Aggregator
	demands     map[metering.Source]*nodeDemand
	leads       bool // as of the last check
	leaderSince time.Time

	// Used only by Run.
	receiver    uint64 // instance ID of the leader that has acknowledged all reports; 0 if none
	leader      walnutramp.NodeName
	forwardedAt time.Time
}

// nodeDemand is the demand reported by one process of a node.
type nodeDemand struct {
	rows       map[string]fleet.Demand // by service
	changed    bool                    // since it was forwarded
	reportedAt time.Time
}

// NewReportCollector returns a ReportCollector and registers it with a member's server.
func NewReportCollector(peers Peers, m *consensus.Member, s *Server) *ReportCollector {
	r := &ReportCollector{
		peers: peers, member: m, state: s.state, instanceID: rand.Uint64() | 1,
		aggregator: metering.NewAggregator(), demands: map[metering.Source]*nodeDemand{},
	}
	s.reports = r
	return r
}

// SetDemandSink sets the function that receives the demand while this member
// leads. It must be called before Run.
func (r *ReportCollector) SetDemandSink(sink DemandFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sink = sink
}

// Tell implements the RPC with which a node reports usage and demand.
func (s *Server) Tell(args TellArgs, reply *TellReply) error {
	if s.reports == nil {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	s.reports.receive([]NodeReport{NodeReport(args)})
	reply.Code, reply.To, reply.Closed = walnutramp.CodeOK, s.reports.instanceID, s.state.newestClosed()
	return nil
}

// Pass implements the RPC with which a member forwards reports to the leader.
func (s *Server) Pass(args PassArgs, reply *TellReply) error {
	if s.reports == nil || !s.member.Leads() {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	s.reports.receive(args.Reports)
	reply.Code, reply.To, reply.Closed = walnutramp.CodeOK, s.reports.instanceID, s.state.newestClosed()
	return nil
}

// receive stores reports. On the leader it also passes their demand to the sink.
func (r *ReportCollector) receive(reports []NodeReport) {
	r.store(reports, time.Now())
	if r.member.Leads() {
		r.notifySink(reports)
	}
}

func (r *ReportCollector) store(reports []NodeReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.aggregator.RemoveThrough(r.state.newestClosed())
	for _, report := range reports {
		from := metering.Source{Node: report.Node, Incarnation: report.Life}
		r.aggregator.Merge(from, report.Usage, now)
		r.storeDemand(from, report.Demand, now)
	}
}

// notifySink passes the demand in reports to the sink.
func (r *ReportCollector) notifySink(reports []NodeReport) {
	r.mu.Lock()
	sink := r.sink
	r.mu.Unlock()
	for _, report := range reports {
		if sink != nil && len(report.Demand) > 0 {
			sink(report.Node, report.Life, report.Demand)
		}
	}
}

// storeDemand stores a node's demand. The caller holds the mutex.
func (r *ReportCollector) storeDemand(from metering.Source, rows []fleet.Demand, now time.Time) {
	if len(rows) == 0 {
		return
	}
	d := r.demands[from]
	if d == nil {
		d = &nodeDemand{rows: map[string]fleet.Demand{}}
		r.demands[from] = d
	}
	d.reportedAt, d.changed = now, true
	for _, row := range rows {
		if row.Requests >= d.rows[row.Service].Requests {
			d.rows[row.Service] = row // else the report was overtaken by a newer one
		}
	}
}

// Run forwards reports to the leader until ctx is done.
func (r *ReportCollector) Run(ctx context.Context) {
	for pause.For(ctx, forwardInterval) {
		r.expire()
		leads := r.member.Leads()
		r.updateLeadership(leads)
		if leads {
			continue
		}
		if leader := r.member.Leader(); leader != "" {
			r.forward(ctx, leader)
		}
	}
}

// expire drops closed windows and the reports of nodes that are gone.
func (r *ReportCollector) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	cutoff := time.Now().Add(-sourceRetention)
	r.aggregator.RemoveThrough(r.state.newestClosed())
	r.aggregator.Forget(cutoff)
	maps.DeleteFunc(r.demands, func(_ metering.Source, d *nodeDemand) bool { return d.reportedAt.Before(cutoff) })
}

// updateLeadership records whether this member leads. When it is elected, its sink
// receives all demand that was reported to this member.
func (r *ReportCollector) updateLeadership(leads bool) {
	r.mu.Lock()
	elected := leads && !r.leads
	if leads != r.leads {
		r.receiver = 0
	}
	r.leads = leads
	var reports []NodeReport
	if elected {
		r.leaderSince = time.Now()
		reports = r.collect(true)
	}
	r.mu.Unlock()
	r.notifySink(reports)
}

// collect returns the changes since the last call, or everything. Demand is returned
// whole for each node with changes. The caller holds the mutex.
func (r *ReportCollector) collect(all bool) []NodeReport {
	bySource := map[metering.Source]*NodeReport{}
	of := func(from metering.Source) *NodeReport {
		if bySource[from] == nil {
			bySource[from] = &NodeReport{Node: from.Node, Life: from.Incarnation}
		}
		return bySource[from]
	}
	for from, rows := range r.aggregator.Changes(all) {
		of(from).Usage = rows
	}
	for from, d := range r.demands {
		if d.changed || all {
			of(from).Demand = slices.Collect(maps.Values(d.rows))
		}
		d.changed = false
	}
	reports := make([]NodeReport, 0, len(bySource))
	for _, report := range bySource {
		reports = append(reports, *report)
	}
	return reports
}

// forward sends the leader the changes, or everything if this leader process has not
// acknowledged the earlier reports. Without changes it calls every forwardKeepalive.
func (r *ReportCollector) forward(ctx context.Context, leader walnutramp.NodeName) {
	if leader != r.leader {
		r.leader, r.receiver = leader, 0
	}
	r.mu.Lock()
	reports := r.collect(r.receiver == 0)
	r.mu.Unlock()
	if len(reports) == 0 && time.Since(r.forwardedAt) < forwardKeepalive {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var reply TellReply
	err := r.peers.Call(ctx, leader, Service+".Pass", PassArgs{Reports: reports}, &reply)
	r.forwardedAt = time.Now()
	if err != nil || reply.Code != walnutramp.CodeOK {
		klog.V(1).InfoS("Forwarding reports failed", "leader", leader, "reports", len(reports), "code", int(reply.Code), "err", err)
		r.receiver = 0
		return
	}
	if r.receiver != 0 && reply.To != r.receiver {
		r.receiver = 0 // the leader has restarted: resend everything
		return
	}
	r.receiver = reply.To
}

// windowStatus is the state of a window's counts on this member.
type windowStatus struct {
	metering.Sum
	// Unresponsive is the number of nodes that reported within unresponsiveNodeTimeout,
	// but not later than reportDelay after the window's end.
	Unresponsive int
	// Led is how long this member has led; 0 if it does not lead.
	Led time.Duration
}

// windowStatus returns the status of a window that ended a given time ago.
func (r *ReportCollector) windowStatus(w metering.Window, ago time.Duration) windowStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	s := windowStatus{Sum: r.aggregator.Sum(w), Unresponsive: r.aggregator.Unresponsive(now.Add(-unresponsiveNodeTimeout), now.Add(reportDelay-ago))}
	if r.leads {
		s.Led = now.Sub(r.leaderSince)
	}
	return s
}
