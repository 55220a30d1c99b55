package serve

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/peer"
	"github.com/walnutramp/walnutramp/wal"
	"k8s.io/klog/v2"
)

// Timing of the control group: a leader that is lost is replaced well within
// the time in which operators and nodes want an answer.
const (
	heartbeat     = 100 * time.Millisecond
	election      = 400 * time.Millisecond
	compactBytes  = 8 << 20
	replicaFinish = 1 * time.Second // for operators' calls when the process stops
	exitDiskLost  = 3
	bytesPerMbit  = 1e6 / 8
)

// replica serves operators, as a member of the control group or as a proxy of
// its members.
type replica struct {
	member   *consensus.Member // nil for a proxy
	server   *peer.Server
	operator *http.Server
	duties   *control.DutyHolder      // nil where there are none
	fleet    *control.FleetController // nil where no targets can be ordered
	usage    *usage                   // nil where nothing is metered
}

// startProxy serves operators without being a member: a machine without a
// disk can't be one. It passes their calls on to the group.
func (p *Process) startProxy(self peer.Identity) error {
	s := p.settings
	p.client = control.NewDocumentClient(p.peers, s.Seeds, func(uint64, []byte) error { return nil })
	server := peer.NewServer(self, &p.traffic)
	if err := server.Register(control.Service, control.NewGuide(p.client)); err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return err
	}
	go server.Serve(l)
	p.client.Start()
	p.replica = &replica{server: server}
	p.replica.operator, err = listen(s.OperatorAddr, p.adapter.Operator(&documents{client: p.client, limit: s.OperatorIn}))
	return err
}

func (p *Process) startReplica(self peer.Identity) error {
	s := p.settings
	disk := wal.Dir(s.DataDir)
	identity, err := p.identity(disk, self.Node)
	if err != nil {
		return err
	}
	var founding consensus.Group
	if identity == consensus.Founder {
		founding = control.FoundingGroup(s.Seeds)
	}
	state := control.NewState(control.WithRule(control.AcceptHighest))
	member, err := consensus.New(self.Node, identity, disk, founding, p.peers, state,
		consensus.WithTiming(heartbeat, election), consensus.WithCompaction(compactBytes), consensus.WithCommitNotes(),
		consensus.WithSeed(uint64(time.Now().UnixNano())), consensus.WithOnFatal(diskLost))
	if err != nil {
		return err
	}
	keeper := control.NewKeeper(self.Node, member)
	roster := control.NewRoster()
	poller := discovery.NewPoller(p.adapter.Source(false), discovery.TakerFunc(roster.Set), discovery.WithOnly(member.Leads))
	server := peer.NewServer(self, &p.traffic)
	answers := control.NewOpenServer(member, state, keeper, roster, control.WithLink(s.LinkMbps*bytesPerMbit), control.WithOrderPatience(s.OrderPatience))
	bound := balance.BudgetConfig{Window: s.RepeatWindow}
	sharing := control.NewSharing(member, answers, bound.TakenWithin())
	relay := control.NewRelay(p.peers, self.Node, s.DataHall, member, answers)
	metered := p.meterReplica(self, member, answers)
	if s.Rollouts.Enabled() {
		go control.NewRolloutController(member, answers, s.Rollouts).Run(p.ctx)
	}
	if err := errors.Join(
		server.Register(consensus.Service, member.Handler()),
		server.Register(control.Service, answers),
	); err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return err
	}
	go server.Serve(l)
	member.Start()
	p.client = control.NewDocumentClient(p.peers, s.Seeds, func(uint64, []byte) error { return nil })
	go keeper.Run(p.ctx)
	go poller.Run(p.ctx)
	go p.readFirstList(roster)
	go whenLeading(p.ctx, member, poller.Soon)
	go relay.Run(p.ctx)
	go sharing.Run(p.ctx)
	go control.NewIntroducer(p.peers, member, p.client).Run(p.ctx)
	go control.NewJoiner(p.peers, self.Node, identity, member, p.client).Run(p.ctx)
	duties := p.startDuties(self, member, answers)
	fleet, err := p.startFleet(member, answers, duties)
	if err != nil {
		return err
	}
	if fleet != nil && metered != nil {
		metered.reports.SetDemandSink(fleet.Take)
	}
	metered.run(p.ctx)
	if err := p.reportUsage(metered, member, answers, duties); err != nil {
		return err
	}
	p.replica = &replica{member: member, server: server, duties: duties, usage: metered, fleet: fleet}
	p.replica.operator, err = listen(s.OperatorAddr, p.adapter.Operator(&documents{client: p.client, member: member, limit: s.OperatorIn}))
	return err
}

// readFirstList reads the list of targets for the entries that start together with this
// member, before there is a leader; one that is long is left to the leader.
func (p *Process) readFirstList(roster *control.Roster) {
	list, err := p.adapter.ShortSource().Targets(p.ctx)
	if err != nil {
		klog.InfoS("List of targets is left to the leader", "err", err)
		return
	}
	roster.SetFirst(list)
}

// leadingEvery is the pause between two looks at whether a member leads.
const leadingEvery = 50 * time.Millisecond

// whenLeading calls f each time a member has become the leader, until ctx ends.
func whenLeading(ctx context.Context, m *consensus.Member, f func()) {
	led := false
	for pause.For(ctx, leadingEvery) {
		leads := m.Leads()
		if leads && !led {
			f()
		}
		led = leads
	}
}

// identity returns the disk's identity. A founder's empty disk is marked as
// one; every other empty disk gets an identity that no group knows.
func (p *Process) identity(disk wal.FS, self walnutramp.NodeName) (consensus.Identity, error) {
	if p.settings.Founder && slices.Contains(p.settings.Seeds, self) {
		if err := control.FoundIdentity(disk); err != nil {
			klog.V(1).InfoS("The disk has an identity", "err", err)
		}
	}
	return control.ReadIdentity(disk)
}

// diskLost ends the process: what a failed sync left behind is not known.
func diskLost(err error) {
	klog.ErrorS(err, "The disk failed; the process ends")
	klog.Flush()
	os.Exit(exitDiskLost)
}

func (r *replica) stop() {
	r.releaseDuties()
	ctx, cancel := context.WithTimeout(context.Background(), replicaFinish)
	defer cancel()
	if r.member != nil {
		r.member.HandOver(ctx) // while it still answers, so that nobody waits for an election
	}
	r.operator.Shutdown(ctx)
	if r.member != nil {
		r.member.Close()
	}
	r.server.Close()
}

// documents is an operator's way to the control group.
type documents struct {
	client *control.Client
	member *consensus.Member // of this process; nil for a proxy
	limit  time.Duration
}

// begin bounds an operator's call, and takes the members that this process
// knows as one of them.
func (d *documents) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	if d.member != nil {
		d.client.LearnGroup(d.member.Status().Group.Nodes())
	}
	return context.WithTimeout(ctx, d.limit)
}

// Offer implements Documents.
func (d *documents) Offer(ctx context.Context, version uint64, doc []byte) error {
	ctx, cancel := d.begin(ctx)
	defer cancel()
	r, err := d.client.Offer(ctx, version, doc)
	if err != nil {
		return err
	}
	if r.Code != walnutramp.CodeOK {
		return walnutramp.NewError(r.Code, walnutramp.Unknown, "the control group did not take the document")
	}
	return nil
}

// StartRollout implements Documents.
func (d *documents) StartRollout(ctx context.Context, service, version string, duration time.Duration) error {
	ctx, cancel := d.begin(ctx)
	defer cancel()
	_, err := d.client.StartRollout(ctx, service, version, duration)
	return err
}

// Rollout implements Documents.
func (d *documents) Rollout(ctx context.Context, service string) (control.RolloutReply, error) {
	ctx, cancel := d.begin(ctx)
	defer cancel()
	return d.client.Rollout(ctx, service)
}

// Newest implements Documents.
func (d *documents) Newest(ctx context.Context) (uint64, []byte, bool) {
	ctx, cancel := d.begin(ctx)
	defer cancel()
	return d.client.Newest(ctx)
}
