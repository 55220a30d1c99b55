package control

import (
	"github.com/walnutramp/walnutramp"
)

// Redirector redirects requests to the members of the control group. It runs in
// processes that serve operators but have no disk and so are not members; they may
// be seeds.
type Redirector struct {
	client *Client
}

// NewRedirector returns a Redirector that knows the group through a client.
func NewRedirector(c *Client) *Redirector { return &Redirector{client: c} }

// Newest implements the RPC that renews a node's lease.
func (r *Redirector) Newest(_ NewestArgs, reply *NewestReply) error {
	reply.Group = r.redirect(&reply.Code, &reply.Leader)
	return nil
}

// Join implements the RPC by which a node asks to become a member.
func (r *Redirector) Join(_ JoinArgs, reply *JoinReply) error {
	reply.Group = r.redirect(&reply.Code, &reply.Leader)
	return nil
}

// Do implements the RPC that proposes a command.
func (r *Redirector) Do(_ DoArgs, reply *DoReply) error {
	r.redirect(&reply.Code, &reply.Leader)
	return nil
}

// Offer implements the RPC that submits an unsigned document.
func (r *Redirector) Offer(_ OfferArgs, reply *DoReply) error {
	r.redirect(&reply.Code, &reply.Leader)
	return nil
}

// Order implements the RPC that orders a roll-out.
func (r *Redirector) Order(_ OrderArgs, reply *DoReply) error {
	r.redirect(&reply.Code, &reply.Leader)
	return nil
}

// Rollout implements the RPC that returns the newest roll-out of a service.
func (r *Redirector) Rollout(_ RolloutArgs, reply *RolloutReply) error {
	r.redirect(&reply.Code, &reply.Leader)
	return nil
}

// Report implements the RPC by which nodes report observations of targets.
func (r *Redirector) Report(_ ReportArgs, reply *ReportReply) error {
	r.redirect(&reply.Code, &reply.Leader)
	return nil
}

// Tell implements the RPC by which nodes report usage and demand.
func (r *Redirector) Tell(_ TellArgs, reply *TellReply) error {
	r.redirect(&reply.Code, &reply.Leader)
	return nil
}

// redirect fills a reply with CodeNoLeader and the node to ask instead: the leader or a
// relay as last known, empty if unknown. It returns the members as last received.
func (r *Redirector) redirect(code *walnutramp.Code, leader *walnutramp.NodeName) []walnutramp.NodeName {
	*code = walnutramp.CodeNoLeader
	var group []walnutramp.NodeName
	*leader, group = r.client.leaderAndMembers()
	return group
}

// leaderAndMembers returns the leader or relay as last known, empty if unknown, and the
// members as last received.
func (c *Client) leaderAndMembers() (leader walnutramp.NodeName, group []walnutramp.NodeName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.group
}
