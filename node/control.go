package node

import (
	"context"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/operator"
	"github.com/walnutramp/walnutramp/placement"
)

// setupControl creates the control group client, and on nodes with a disk the
// consensus member. A member starts with the initial group only if the identity on its
// disk is consensus.Founder; other members have to be added to the group later.
func (n *Node) setupControl() error {
	if len(n.cfg.Control) == 0 {
		return nil
	}
	n.control = control.NewClient(n.peers, n.cfg.Control, n.apply)
	if n.cfg.Disk == nil {
		return nil
	}
	identity, err := control.LoadOrCreateIdentity(n.cfg.Disk)
	if err != nil {
		return err
	}
	var initialGroup consensus.Group
	if identity == consensus.Founder {
		initialGroup = control.FoundingGroup(n.cfg.Control)
	}
	n.voterState = control.NewState()
	opts := append([]consensus.Option{consensus.WithSeed(n.cfg.Seed)}, n.cfg.ControlOptions...)
	n.voter, err = consensus.New(n.cfg.Name, identity, n.cfg.Disk, initialGroup, n.peers, n.voterState, opts...)
	return err
}

func (n *Node) registerControl() error {
	if err := n.peerServer.Register(operator.Service, &statusService{n}); err != nil {
		return err
	}
	if n.voter == nil {
		return nil
	}
	if err := n.peerServer.Register(consensus.Service, n.voter.Handler()); err != nil {
		return err
	}
	return n.peerServer.Register(control.Service, control.NewServer(n.voter, n.voterState, n.cfg.Operators))
}

func (n *Node) startControl() {
	if n.voter != nil {
		n.voter.Start()
	}
	if n.control != nil {
		n.control.Start()
	}
	if n.voter != nil {
		n.placement = placement.NewController(placementLeader{n.voter}, n.pool, n.bundle.Load)
		n.placement.Start()
	}
}

// placementLeader adapts a consensus member to placement.Leader.
type placementLeader struct{ *consensus.Member }

// Term implements placement.Leader. It returns 0 unless this node is the leader.
func (l placementLeader) Term() uint64 {
	if !l.Leads() {
		return 0
	}
	return l.Status().Term
}

func (n *Node) closeControl() {
	if n.placement != nil {
		n.placement.Close()
	}
	if n.control != nil {
		n.control.Close()
	}
	if n.voter != nil {
		n.voter.Close()
	}
}

// mayAcceptRequests reports whether the node may accept new requests: always if there is
// no control group, otherwise while the node holds the control group's lease.
func (n *Node) mayAcceptRequests() bool { return n.control == nil || n.control.InForce() }

// Control returns the control group client, or nil without a control group.
func (n *Node) Control() *control.Client { return n.control }

// Voter returns the node's consensus member, or nil without a control group or disk.
func (n *Node) Voter() *consensus.Member { return n.voter }

// BundleVersion returns the version of the bundle that is loaded on this node, whether or
// not the node may accept new requests.
func (n *Node) BundleVersion() uint64 { return n.bundle.Load().Version }

// statusService serves the node's status to the other nodes.
type statusService struct{ n *Node }

// Status handles the RPC that returns the node's status.
func (s *statusService) Status(_ operator.StatusArgs, reply *operator.NodeStatus) error {
	*reply = s.n.status()
	return nil
}

func (n *Node) status() operator.NodeStatus {
	return operator.NodeStatus{
		Node: n.cfg.Name, DataHall: n.cfg.DataHall, Version: n.BundleVersion(),
		InForce: n.mayAcceptRequests(), Stopping: n.stopping.Load(), Answered: true,
	}
}

// statusTimeout bounds the wait for the status of the other nodes.
const statusTimeout = 1 * time.Second

// statusOfAll returns this node's status and that of all other live nodes. A node that
// fails to answer within statusTimeout is listed with its name and data hall only.
func (n *Node) statusOfAll(ctx context.Context) []operator.NodeStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	others := n.members.Live()
	all := make([]operator.NodeStatus, len(others)+1)
	all[0] = n.status()
	var wg sync.WaitGroup
	for i, o := range others {
		wg.Go(func() { all[i+1] = n.statusOf(ctx, o.Name, o.DataHall) })
	}
	wg.Wait()
	return all
}

func (n *Node) statusOf(ctx context.Context, name walnutramp.NodeName, hall walnutramp.DataHall) operator.NodeStatus {
	var s operator.NodeStatus
	if err := n.peers.Call(ctx, name, operator.Service+".Status", operator.StatusArgs{}, &s); err != nil {
		return operator.NodeStatus{Node: name, DataHall: hall}
	}
	return s
}
