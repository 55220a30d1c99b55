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

// Times of introductions.
const (
	introduceEvery = 500 * time.Millisecond // well within what nodes have to serve again after a start of all
	introduceLimit = 300 * time.Millisecond
)

// Introducer tells the seeds that are no members who the members are. Nodes
// that start know the seeds alone, and after a start of all processes a proxy
// among them knows of nobody.
type Introducer struct {
	peers  Peers
	member *consensus.Member
	client *Client
}

// NewIntroducer returns an introducer for a member; the client knows the seeds.
func NewIntroducer(peers Peers, m *consensus.Member, c *Client) *Introducer {
	return &Introducer{peers: peers, member: m, client: c}
}

// IntroduceArgs names the members.
type IntroduceArgs struct {
	Group []walnutramp.NodeName
}

// IntroduceReply is empty.
type IntroduceReply struct{}

// Run introduces the members until ctx ends.
func (i *Introducer) Run(ctx context.Context) {
	for pause.For(ctx, introduceEvery) {
		group := i.member.Status().Group.Nodes()
		if len(group) == 0 {
			continue
		}
		for _, seed := range i.client.seedList() {
			if !slices.Contains(group, seed) {
				i.introduce(ctx, seed, group)
			}
		}
	}
}

func (i *Introducer) introduce(ctx context.Context, seed walnutramp.NodeName, group []walnutramp.NodeName) {
	ctx, cancel := context.WithTimeout(ctx, introduceLimit)
	defer cancel()
	if err := i.peers.Call(ctx, seed, Service+".Introduce", IntroduceArgs{Group: group}, &IntroduceReply{}); err != nil {
		klog.V(1).InfoS("Members not introduced", "seed", seed, "err", err)
	}
}

// seedList returns the nodes that are always asked.
func (c *Client) seedList() []walnutramp.NodeName {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.seeds)
}

// Introduce implements the RPC by which a member names the members.
func (g *Guide) Introduce(args IntroduceArgs, _ *IntroduceReply) error {
	g.client.LearnGroup(args.Group)
	return nil
}

// Introduce implements the RPC by which a member names the members; another
// member asks the group itself.
func (s *Server) Introduce(IntroduceArgs, *IntroduceReply) error { return nil }
