package control

import (
	"github.com/walnutramp/walnutramp"
)

// Guide answers nodes that ask a process which serves operators but, for want
// of a disk, is no member: it says whom to ask instead. Seeds may name it.
type Guide struct {
	client *Client
}

// NewGuide returns a guide that knows the group through a client.
func NewGuide(c *Client) *Guide { return &Guide{client: c} }

// Newest implements the RPC behind each node's lease.
func (g *Guide) Newest(_ NewestArgs, reply *NewestReply) error {
	reply.Code = walnutramp.CodeNoLeader
	reply.Leader, reply.Group = g.client.whereabouts()
	return nil
}

// Join implements the RPC by which a node with a new disk comes in.
func (g *Guide) Join(_ JoinArgs, reply *JoinReply) error {
	reply.Code = walnutramp.CodeNoLeader
	reply.Leader, reply.Group = g.client.whereabouts()
	return nil
}

// Do implements the RPC that changes the ledger.
func (g *Guide) Do(_ DoArgs, reply *DoReply) error {
	reply.Code = walnutramp.CodeNoLeader
	reply.Leader, _ = g.client.whereabouts()
	return nil
}

// Offer implements the RPC for an unsigned document.
func (g *Guide) Offer(_ OfferArgs, reply *DoReply) error {
	reply.Code = walnutramp.CodeNoLeader
	reply.Leader, _ = g.client.whereabouts()
	return nil
}

// whereabouts returns the leader, if known, and the members as last heard.
func (c *Client) whereabouts() (leader walnutramp.NodeName, group []walnutramp.NodeName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.group
}

// Order implements the RPC for an operator's order of a roll-out.
func (g *Guide) Order(_ OrderArgs, reply *DoReply) error {
	reply.Code = walnutramp.CodeNoLeader
	reply.Leader, _ = g.client.whereabouts()
	return nil
}

// Rollout implements the RPC that reads the newest roll-out of a service.
func (g *Guide) Rollout(_ RolloutArgs, reply *RolloutReply) error {
	reply.Code = walnutramp.CodeNoLeader
	reply.Leader, _ = g.client.whereabouts()
	return nil
}

// Report implements the RPC by which a node tells what it saw of targets.
func (g *Guide) Report(_ ReportArgs, reply *ReportReply) error {
	reply.Code = walnutramp.CodeNoLeader
	reply.Leader, _ = g.client.whereabouts()
	return nil
}
