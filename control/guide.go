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
	reply.Group = g.refer(&reply.Code, &reply.Leader)
	return nil
}

// Join implements the RPC by which a node with a new disk comes in.
func (g *Guide) Join(_ JoinArgs, reply *JoinReply) error {
	reply.Group = g.refer(&reply.Code, &reply.Leader)
	return nil
}

// Do implements the RPC that changes the ledger.
func (g *Guide) Do(_ DoArgs, reply *DoReply) error {
	g.refer(&reply.Code, &reply.Leader)
	return nil
}

// Offer implements the RPC for an unsigned document.
func (g *Guide) Offer(_ OfferArgs, reply *DoReply) error {
	g.refer(&reply.Code, &reply.Leader)
	return nil
}

// Order implements the RPC for an operator's order of a roll-out.
func (g *Guide) Order(_ OrderArgs, reply *DoReply) error {
	g.refer(&reply.Code, &reply.Leader)
	return nil
}

// Rollout implements the RPC that reads the newest roll-out of a service.
func (g *Guide) Rollout(_ RolloutArgs, reply *RolloutReply) error {
	g.refer(&reply.Code, &reply.Leader)
	return nil
}

// Report implements the RPC by which a node tells what it saw of targets.
func (g *Guide) Report(_ ReportArgs, reply *ReportReply) error {
	g.refer(&reply.Code, &reply.Leader)
	return nil
}

// Tell implements the RPC by which a node tells what it has counted.
func (g *Guide) Tell(_ TellArgs, reply *TellReply) error {
	g.refer(&reply.Code, &reply.Leader)
	return nil
}

// refer answers that this process does not lead, and who does as far as is
// known. It returns the members as last heard.
func (g *Guide) refer(code *walnutramp.Code, leader *walnutramp.NodeName) []walnutramp.NodeName {
	*code = walnutramp.CodeNoLeader
	var group []walnutramp.NodeName
	*leader, group = g.client.whereabouts()
	return group
}

// whereabouts returns the leader, if known, and the members as last heard.
func (c *Client) whereabouts() (leader walnutramp.NodeName, group []walnutramp.NodeName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.group
}
