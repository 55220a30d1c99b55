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

// Times of passing on what nodes tell.
const (
	// passEvery is between two calls to the leader: what a node tells is to
	// be there well before a window is closed, also after a call in vain.
	passEvery = 100 * time.Millisecond
	passLimit = 400 * time.Millisecond // of one call
	// passAnyway is after how long without news the leader is called, so that
	// a leader that has started anew gets everything again.
	passAnyway = 500 * time.Millisecond
	// wordTime is how long after a window's end a node's word has all of it: a
	// short request that began before the end is counted at its answer, and
	// told a report later.
	wordTime = tellEvery + 2*passEvery
	// silentFor is how long a node may be silent that is still waited for.
	silentFor = 10 * time.Second
	// sourceLife is how long a node that tells nothing is remembered.
	sourceLife = 1 * time.Minute
)

// DemandFunc takes what a node has told of the demand for services. It only
// ever grows within one life of the node; the same may come more than once.
type DemandFunc func(node string, life uint64, rows []fleet.Demand)

// Reports are what nodes told this member. It hands the leader everything; a
// new one gets all that was told in windows that are not closed.
type Reports struct {
	peers  Peers
	member *consensus.Member
	state  *State
	id     uint64 // names this process

	mu      sync.Mutex
	sink    DemandFunc // is told the demand on the leader; nil for none
	tally   *metering.Tally
	demands map[metering.Source]*demand
	leads   bool      // as last seen
	ledFrom time.Time // when this member began to lead

	to       uint64 // who had everything; used by Run alone
	leader   walnutramp.NodeName
	passedAt time.Time
}

// demand is what one life of a node has told of the demand.
type demand struct {
	rows    map[string]fleet.Demand // by service
	changed bool                    // since it was passed on
	heard   time.Time
}

// NewReports returns what a member's server takes reports with from then on.
func NewReports(peers Peers, m *consensus.Member, s *Server) *Reports {
	r := &Reports{
		peers: peers, member: m, state: s.state, id: rand.Uint64() | 1,
		tally: metering.NewTally(), demands: map[metering.Source]*demand{},
	}
	s.reports = r
	return r
}

// SetDemandSink has the demand told to a sink while this member leads. It is called
// before Run.
func (r *Reports) SetDemandSink(sink DemandFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sink = sink
}

// Tell implements the RPC by which a node tells what it has counted.
func (s *Server) Tell(args TellArgs, reply *TellReply) error {
	if s.reports == nil {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	s.reports.take([]NodeReport{NodeReport(args)})
	reply.Code, reply.To, reply.Closed = walnutramp.CodeOK, s.reports.id, s.state.newestClosed()
	return nil
}

// Pass implements the RPC by which a member hands the leader what nodes told.
func (s *Server) Pass(args PassArgs, reply *TellReply) error {
	if s.reports == nil || !s.member.Leads() {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	s.reports.take(args.Reports)
	reply.Code, reply.To, reply.Closed = walnutramp.CodeOK, s.reports.id, s.state.newestClosed()
	return nil
}

// take keeps what nodes told. The leader's sink gets the demand at once.
func (r *Reports) take(reports []NodeReport) {
	r.takeAll(reports, time.Now())
	if r.member.Leads() {
		r.tellSink(reports)
	}
}

func (r *Reports) takeAll(reports []NodeReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.Closed(r.state.newestClosed())
	for _, report := range reports {
		from := metering.Source{Node: report.Node, Life: report.Life}
		r.tally.Take(from, report.Usage, now)
		r.takeDemand(from, report.Demand, now)
	}
}

// tellSink hands the demand in reports to the sink.
func (r *Reports) tellSink(reports []NodeReport) {
	r.mu.Lock()
	sink := r.sink
	r.mu.Unlock()
	for _, report := range reports {
		if sink != nil && len(report.Demand) > 0 {
			sink(report.Node, report.Life, report.Demand)
		}
	}
}

// takeDemand keeps a node's demand. The caller holds the mutex.
func (r *Reports) takeDemand(from metering.Source, rows []fleet.Demand, now time.Time) {
	if len(rows) == 0 {
		return
	}
	d := r.demands[from]
	if d == nil {
		d = &demand{rows: map[string]fleet.Demand{}}
		r.demands[from] = d
	}
	d.heard, d.changed = now, true
	for _, row := range rows {
		if row.Requests >= d.rows[row.Service].Requests {
			d.rows[row.Service] = row // not one that was overtaken
		}
	}
}

// Run hands the leader what nodes tell, until ctx ends.
func (r *Reports) Run(ctx context.Context) {
	for pause.For(ctx, passEvery) {
		r.forget()
		leads := r.member.Leads()
		r.noteLeads(leads)
		if leads {
			continue
		}
		if leader := r.member.Leader(); leader != "" {
			r.pass(ctx, leader)
		}
	}
}

// forget drops what nobody asks for any more.
func (r *Reports) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := time.Now().Add(-sourceLife)
	r.tally.Closed(r.state.newestClosed())
	r.tally.Forget(before)
	maps.DeleteFunc(r.demands, func(_ metering.Source, d *demand) bool { return d.heard.Before(before) })
}

// noteLeads notes whether this member leads. A new leader's sink is told all
// that was told to this member.
func (r *Reports) noteLeads(leads bool) {
	r.mu.Lock()
	begins := leads && !r.leads
	if leads != r.leads {
		r.to = 0
	}
	r.leads = leads
	var reports []NodeReport
	if begins {
		r.ledFrom = time.Now()
		reports = r.changes(true)
	}
	r.mu.Unlock()
	r.tellSink(reports)
}

// changes returns what nodes told since the last call, or everything. The
// caller holds the mutex.
func (r *Reports) changes(all bool) []NodeReport {
	bySource := map[metering.Source]*NodeReport{}
	of := func(from metering.Source) *NodeReport {
		if bySource[from] == nil {
			bySource[from] = &NodeReport{Node: from.Node, Life: from.Life}
		}
		return bySource[from]
	}
	for from, rows := range r.tally.Changes(all) {
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

// pass hands the leader what is new, or everything where it has not got that
// from this member before.
func (r *Reports) pass(ctx context.Context, leader walnutramp.NodeName) {
	if leader != r.leader {
		r.leader, r.to = leader, 0
	}
	r.mu.Lock()
	reports := r.changes(r.to == 0)
	r.mu.Unlock()
	if len(reports) == 0 && time.Since(r.passedAt) < passAnyway {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, passLimit)
	defer cancel()
	var reply TellReply
	err := r.peers.Call(ctx, leader, Service+".Pass", PassArgs{Reports: reports}, &reply)
	r.passedAt = time.Now()
	if err != nil || reply.Code != walnutramp.CodeOK {
		klog.V(1).InfoS("Reports not passed on", "leader", leader, "reports", len(reports), "code", int(reply.Code), "err", err)
		r.to = 0
		return
	}
	if r.to != 0 && reply.To != r.to {
		r.to = 0 // it has started anew: it gets everything next time
		return
	}
	r.to = reply.To
}

// standing is how much of a window's counts is here.
type standing struct {
	metering.Sum
	// Silent are the nodes that told something lately, but nothing since they
	// could have told all of the window.
	Silent int
	// Led is for how long this member has led; 0 if it does not lead.
	Led time.Duration
}

// standing returns what is known of a window that ended a while ago.
func (r *Reports) standing(w metering.Window, ago time.Duration) standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	s := standing{Sum: r.tally.Sum(w), Silent: r.tally.Silent(now.Add(-silentFor), now.Add(wordTime-ago))}
	if r.leads {
		s.Led = now.Sub(r.ledFrom)
	}
	return s
}
