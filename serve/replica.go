package serve

import (
	"context"
	"net"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/drain"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/peer"
	"github.com/walnutramp/walnutramp/wal"
	"k8s.io/klog/v2"
)

// Parameters of the control group. Heartbeat and election timeouts are short
// enough to replace a failed leader before operator and node calls time out.
const (
	heartbeatInterval   = 100 * time.Millisecond
	electionTimeout     = 400 * time.Millisecond
	compactionThreshold = 8 << 20
	replicaStopTimeout  = 1 * time.Second // for in-flight operator calls
	exitDiskFailed      = 3
	bytesPerMegabit     = 1e6 / 8
)

// replica serves operators, either as a member of the control group or as a proxy
// to its members.
type replica struct {
	member   *consensus.Member // nil for a proxy
	server   *peer.Server
	operator *drain.Server
	duties   *control.DutyHolder      // nil if duties are disabled
	fleet    *control.FleetController // nil if scaling is disabled
	usage    *usage                   // nil if neither metering nor scaling is enabled
}

// startProxy serves operators on a node without a disk, which can't be a member
// of the control group, and forwards their calls to the group.
func (p *Process) startProxy(self peer.Identity) error {
	s := p.settings
	p.client = control.NewDocumentClient(p.peers, s.Seeds, func(uint64, []byte) error { return nil })
	peerServer := peer.NewServer(self, &p.traffic)
	if err := peerServer.Register(control.Service, control.NewRedirector(p.client)); err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return err
	}
	go peerServer.Serve(l)
	p.client.Start()
	p.replica = &replica{server: peerServer}
	p.replica.operator, err = p.listen(s.OperatorAddr, operatorShare, p.adapter.Operator(&documentClient{client: p.client, timeout: s.OperatorTimeout}))
	return err
}

func (p *Process) startReplica(self peer.Identity) error {
	s := p.settings
	disk := wal.Dir(s.DataDir)
	identity, err := p.identity(disk, self.Node)
	if err != nil {
		return err
	}
	var initialGroup consensus.Group
	if identity == consensus.Founder {
		initialGroup = control.FoundingGroup(s.Seeds)
	}
	state := control.NewState(control.WithRule(control.AcceptHighest))
	member, err := consensus.New(self.Node, identity, disk, initialGroup, p.peers, state,
		consensus.WithTiming(heartbeatInterval, electionTimeout), consensus.WithCompaction(compactionThreshold), consensus.WithPersistedCommits(),
		consensus.WithSeed(uint64(time.Now().UnixNano())), consensus.WithOnFatal(exitOnDiskFailure))
	if err != nil {
		return err
	}
	membershipManager := control.NewMembershipManager(self.Node, member)
	targetList := control.NewTargetList()
	poller := discovery.NewPoller(p.adapter.Source(false), discovery.ListHandlerFunc(targetList.Set), discovery.WithCondition(member.Leads))
	server := peer.NewServer(self, &p.traffic)
	controlServer := control.NewUnsignedServer(member, state, membershipManager, targetList, control.WithLink(s.LinkMbps*bytesPerMegabit), control.WithOrderRetryWindow(s.OrderRetryWindow))
	budgetConfig := balance.BudgetConfig{Window: s.RetryWindow}
	quotaController := control.NewQuotaController(member, controlServer, quotaSpan(&budgetConfig))
	relay := control.NewRelay(p.peers, self.Node, s.DataHall, member, controlServer)
	usage := p.newUsage(self, member, controlServer)
	if s.Rollouts.Enabled() {
		go control.NewRolloutController(member, controlServer, s.Rollouts).Run(p.ctx)
	}
	if err := errors.Join(
		server.Register(consensus.Service, member.Handler()),
		server.Register(control.Service, controlServer),
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
	go membershipManager.Run(p.ctx)
	go poller.Run(p.ctx)
	go p.readFirstList(targetList)
	go onElected(p.ctx, member, poller.RequestRead)
	go relay.Run(p.ctx)
	go quotaController.Run(p.ctx)
	go control.NewSeedNotifier(p.peers, member, p.client).Run(p.ctx)
	go control.NewJoiner(p.peers, self.Node, identity, member, p.client).Run(p.ctx)
	duties := p.startDuties(self, member, controlServer)
	fleet, err := p.startFleet(member, controlServer, duties)
	if err != nil {
		return err
	}
	if fleet != nil && usage != nil {
		usage.reports.SetDemandSink(fleet.RecordDemand)
	}
	usage.run(p.ctx)
	if err := p.startUsageReporting(usage, member, controlServer, duties); err != nil {
		return err
	}
	p.replica = &replica{member: member, server: server, duties: duties, usage: usage, fleet: fleet}
	p.replica.operator, err = p.listen(s.OperatorAddr, operatorShare, p.adapter.Operator(&documentClient{client: p.client, member: member, timeout: s.OperatorTimeout}))
	return err
}

// readFirstList reads the target list before a leader is elected, for entries that
// start together with this member. A list of many pages is left to the leader.
func (p *Process) readFirstList(targetList *control.TargetList) {
	list, err := p.adapter.ShortSource().Targets(p.ctx)
	if err != nil {
		klog.InfoS("Initial target list not read, the leader reads it", "err", err)
		return
	}
	targetList.SetIfEmpty(list)
}

// leaderPollInterval is the interval between checks for leadership.
const leaderPollInterval = 50 * time.Millisecond

// onElected calls f each time the member becomes the leader, until ctx ends.
func onElected(ctx context.Context, m *consensus.Member, f func()) {
	wasLeader := false
	for pause.For(ctx, leaderPollInterval) {
		isLeader := m.Leads()
		if isLeader && !wasLeader {
			f()
		}
		wasLeader = isLeader
	}
}

// identity returns the disk's identity. An empty disk of a founder is marked as
// a founder's; any other empty disk gets a new random identity, so that its node
// has to join the group.
func (p *Process) identity(disk wal.FS, self walnutramp.NodeName) (consensus.Identity, error) {
	if p.settings.Founder && slices.Contains(p.settings.Seeds, self) {
		if err := control.WriteFounderIdentity(disk); err != nil {
			klog.V(1).InfoS("Disk not marked as a founder's", "err", err)
		}
	}
	return control.LoadOrCreateIdentity(disk)
}

// exitOnDiskFailure ends the process: after a failed sync the contents of the log
// are undefined.
func exitOnDiskFailure(err error) {
	klog.ErrorS(err, "Disk write failed, exiting")
	klog.Flush()
	os.Exit(exitDiskFailed)
}

// endCalls cancels the operator's calls in flight, and waits for their answers.
func (r *replica) endCalls() {
	klog.InfoS("Operator's calls are ended")
	r.operator.CancelRequests()
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	if err := r.operator.Shutdown(ctx); err != nil {
		klog.InfoS("Operator's calls are cut off", "err", err)
	}
}

func (r *replica) stop() {
	r.releaseDuties()
	ctx, cancel := context.WithTimeout(context.Background(), replicaStopTimeout)
	defer cancel()
	if r.member != nil {
		r.member.TransferLeadership(ctx) // before the server closes, so that no election is needed
	}
	if r.operator.Shutdown(ctx) != nil {
		r.endCalls()
	}
	if r.member != nil {
		r.member.Close()
	}
	r.server.Close()
}

// documentClient implements Documents through the control group.
type documentClient struct {
	client  *control.Client
	member  *consensus.Member // nil for a proxy
	timeout time.Duration
}

// prepareCall sets the call's timeout, and updates the client's member list from
// this process's own membership.
func (d *documentClient) prepareCall(ctx context.Context) (context.Context, context.CancelFunc) {
	if d.member != nil {
		d.client.SetMembers(d.member.Status().Group.Nodes())
	}
	return context.WithTimeout(ctx, d.timeout)
}

// Offer implements Documents.
func (d *documentClient) Offer(ctx context.Context, version uint64, doc []byte) error {
	ctx, cancel := d.prepareCall(ctx)
	defer cancel()
	r, err := d.client.Offer(ctx, version, doc)
	if err != nil {
		return err
	}
	if r.Code != walnutramp.CodeOK {
		return walnutramp.NewError(r.Code, walnutramp.Unknown, "the control group rejected the document")
	}
	return nil
}

// StartRollout implements Documents.
func (d *documentClient) StartRollout(ctx context.Context, service, version string, duration time.Duration) error {
	ctx, cancel := d.prepareCall(ctx)
	defer cancel()
	_, err := d.client.StartRollout(ctx, service, version, duration)
	return err
}

// Rollout implements Documents.
func (d *documentClient) Rollout(ctx context.Context, service string) (control.RolloutReply, error) {
	ctx, cancel := d.prepareCall(ctx)
	defer cancel()
	return d.client.Rollout(ctx, service)
}

// Newest implements Documents.
func (d *documentClient) Newest(ctx context.Context) (uint64, []byte, bool) {
	ctx, cancel := d.prepareCall(ctx)
	defer cancel()
	return d.client.Newest(ctx)
}
