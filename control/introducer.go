package control

import (
	"context"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/internal/pause"
	"k8s.io/klog/v2"
)

// Interval and timeout of introductions.
const (
	introduceInterval = 500 * time.Millisecond // well below the time in which nodes must serve again after a full restart
	introduceTimeout  = 300 * time.Millisecond
)

// SeedNotifier sends the list of members to the seeds that are not members. Starting
// nodes know only the seeds, and after a full restart such a seed could not
// redirect them.
type SeedNotifier struct {
	peers  Peers
	member *consensus.Member
	client *Client
}

// NewSeedNotifier returns a SeedNotifier for a member. The client provides the seeds.
func NewSeedNotifier(peers Peers, m *consensus.Member, c *Client) *SeedNotifier {
	return &SeedNotifier{peers: peers, member: m, client: c}
}

// IntroduceArgs lists the members.
type IntroduceArgs struct {
	Group []walnutramp.NodeName
}

// IntroduceReply is empty.
type IntroduceReply struct{}

// Run sends the list of members until ctx ends.
func (n *SeedNotifier) Run(ctx context.Context) {
	for pause.For(ctx, introduceInterval) {
		group := n.member.Status().Group.Nodes()
		if len(group) == 0 {
			continue
		}
		for _, seed := range n.client.seedList() {
			if !slices.Contains(group, seed) {
				n.introduce(ctx, seed, group)
			}
		}
	}
}

func (n *SeedNotifier) introduce(ctx context.Context, seed walnutramp.NodeName, group []walnutramp.NodeName) {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	if err := n.peers.Call(ctx, seed, Service+".Introduce", IntroduceArgs{Group: group}, &IntroduceReply{}); err != nil {
		klog.V(1).InfoS("Failed to introduce members", "seed", seed, "err", err)
	}
}

// seedList returns a copy of the seeds.
func (c *Client) seedList() []walnutramp.NodeName {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.seeds)
}

// Introduce implements the RPC by which a member sends the list of members.
func (g *Redirector) Introduce(args IntroduceArgs, _ *IntroduceReply) error {
	g.client.SetMembers(args.Group)
	return nil
}

// Introduce implements the RPC by which a member sends the list of members. Members
// ignore it: they ask the group themselves.
func (s *Server) Introduce(IntroduceArgs, *IntroduceReply) error { return nil }
