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

// wireControl connects the node to the control group, and makes it a member
// where it has a disk and is one of the founders or was added since.
func (n *Node) wireControl() error {
	if len(n.cfg.Control) == 0 {
		return nil
	}
	n.control = control.NewClient(n.peers, n.cfg.Control, n.apply)
	if n.cfg.Disk == nil {
		return nil
	}
	identity, err := control.ReadIdentity(n.cfg.Disk)
	if err != nil {
		return err
	}
	var founding consensus.Group
	if identity == consensus.Founder {
		founding = control.FoundingGroup(n.cfg.Control)
	}
	n.voterState = control.NewState()
	opts := append([]consensus.Option{consensus.WithSeed(n.cfg.Seed)}, n.cfg.ControlOpt...)
	n.voter, err = consensus.New(n.cfg.Name, identity, n.cfg.Disk, founding, n.peers, n.voterState, opts...)
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
		n.placer = placement.NewController(leadership{n.voter}, n.pool, n.bundle.Load)
		n.placer.Start()
	}
}

// leadership shows the control group's leadership to placement.
type leadership struct{ *consensus.Member }

// Term implements placement.Leader.
func (l leadership) Term() uint64 {
	if !l.Leads() {
		return 0
	}
	return l.Status().Term
}

func (n *Node) closeControl() {
	if n.placer != nil {
		n.placer.Close()
	}
	if n.control != nil {
		n.control.Close()
	}
	if n.voter != nil {
		n.voter.Close()
	}
}

// inForce reports whether the node may take new work: always where the bundle
// comes from a file, else while it holds the lease.
func (n *Node) inForce() bool { return n.control == nil || n.control.InForce() }

// Control returns the node's way to the control group, nil if it has none.
func (n *Node) Control() *control.Client { return n.control }

// Voter returns the node's part in the control group, nil if it has none.
func (n *Node) Voter() *consensus.Member { return n.voter }

// BundleVersion returns the version in force on this node.
func (n *Node) BundleVersion() uint64 { return n.bundle.Load().Version }

// statusService answers other nodes for the operators.
type statusService struct{ n *Node }

// Status implements the RPC for a node's status.
func (s *statusService) Status(_ operator.StatusArgs, reply *operator.NodeStatus) error {
	*reply = s.n.status()
	return nil
}

func (n *Node) status() operator.NodeStatus {
	return operator.NodeStatus{
		Node: n.cfg.Name, DataHall: n.cfg.DataHall, Version: n.BundleVersion(),
		InForce: n.inForce(), Stopping: n.stopping.Load(), Answered: true,
	}
}

const statusLimit = 1 * time.Second

// statusOfAll asks every node that is not known to have left.
func (n *Node) statusOfAll(ctx context.Context) []operator.NodeStatus {
	ctx, cancel := context.WithTimeout(ctx, statusLimit)
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
