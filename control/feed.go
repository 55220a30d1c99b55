package control

import (
	"github.com/walnutramp/walnutramp/discovery"
	"k8s.io/klog/v2"
)

// TargetsFunc receives the leader's target list or a change of it. It returns false
// if a change does not apply; the full list is requested then.
type TargetsFunc func(discovery.FeedUpdate) bool

// OnTargets sets the receiver of the target list. It must be called before Start.
func (c *Client) OnTargets(onTargets TargetsFunc) { c.onTargets = onTargets }

// applyTargets passes the target list of a reply to the receiver.
func (c *Client) applyTargets(r TargetListReply) {
	if c.onTargets == nil || r.Version == 0 {
		return
	}
	f, err := r.decode(c.targetsVersion)
	if err != nil {
		klog.ErrorS(err, "Failed to decode target list")
	}
	if err != nil || !c.onTargets(f) {
		c.targetsVersion = 0
		return
	}
	c.targetsVersion = r.Version
}

// EntryNodesFunc receives the entry nodes of the site. If same is true, they have not
// changed and entries is nil. It must not modify entries.
type EntryNodesFunc func(entries []EntryNode, same bool)

// RegisterEntryNode registers this node as an entry node and sets the receiver of the
// directory. It must be called before Start.
func (c *Client) RegisterEntryNode(self EntryNode, f EntryNodesFunc) {
	c.self, c.onEntryNodes = self, f
}

// applyEntryNodes passes the entry nodes of a reply to the receiver.
func (c *Client) applyEntryNodes(r *NewestReply) {
	reply := &r.Directory
	if reply.Version == 0 && r.EntriesVersion != 0 { // from an older build
		reply = &DirectoryReply{Version: r.EntriesVersion, Joined: withUnknownHall(r.Entries)}
	}
	if c.onEntryNodes == nil || reply.Version == 0 {
		return
	}
	if reply.Version == c.entryNodesVersion {
		c.onEntryNodes(nil, true)
		return
	}
	nodes, ok := reply.apply(c.entryNodesVersion, c.entryNodes)
	if !ok {
		c.entryNodesVersion = 0 // request the full list
		return
	}
	c.entryNodesVersion, c.entryNodes = reply.Version, nodes
	c.onEntryNodes(nodes, false)
}
