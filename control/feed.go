package control

import (
	"time"

	"github.com/walnutramp/walnutramp/discovery"
	"k8s.io/klog/v2"
)

// FedFunc takes the leader's list of targets, and how old it is; same says
// that it is the one taken last, and list is nil then.
type FedFunc func(list []discovery.Target, same bool, age time.Duration)

// FeedTargets has the leader's list of targets told to fed. It must be called
// before Start.
func (c *Client) FeedTargets(fed FedFunc) { c.fed = fed }

// takeRoster hands the leader's list of targets on.
func (c *Client) takeRoster(r RosterReply) {
	if c.fed == nil || r.Version == 0 {
		return
	}
	if r.Version == c.held {
		c.fed(nil, true, r.Age)
		return
	}
	list, err := r.Targets(c.held, c.list)
	if err != nil {
		klog.ErrorS(err, "List of targets not taken")
		c.held = 0
		return
	}
	c.held, c.list = r.Version, list
	c.fed(list, false, r.Age)
}

// AsEntry makes the node known as an entry of a data hall at an address, and has
// the addresses of all entries told to seen. It must be called before Start.
func (c *Client) AsEntry(address, dataHall string, seen func([]string)) {
	c.entry, c.hall, c.seen = address, dataHall, seen
}

// takeEntries hands the addresses of all entries on. A reply without them says
// that they are those that this node knows.
func (c *Client) takeEntries(r *NewestReply) {
	if c.seen == nil || r.EntriesVersion == 0 {
		return
	}
	if r.EntriesVersion != c.entriesHeld {
		c.entriesHeld, c.entries = r.EntriesVersion, r.Entries
	}
	c.seen(c.entries)
}
