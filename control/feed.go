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

// SeenFunc takes the entries of the site; same says that they are those taken last, and
// entries is nil then. It must not change them.
type SeenFunc func(entries []EntryPlace, same bool)

// AsEntry makes the node known as an entry, and has all entries told to seen. It must be
// called before Start.
func (c *Client) AsEntry(as EntryPlace, seen SeenFunc) {
	c.entry, c.hall, c.seen = as, as.DataHall, seen
}

// takeEntries hands the entries on that an answer tells of.
func (c *Client) takeEntries(r *NewestReply) {
	told := &r.Directory
	if told.Version == 0 && r.EntriesVersion != 0 { // an older build's
		told = &DirectoryReply{Version: r.EntriesVersion, Joined: placesOf(r.Entries)}
	}
	if c.seen == nil || told.Version == 0 {
		return
	}
	if told.Version == c.entriesHeld {
		c.seen(nil, true)
		return
	}
	entries, ok := told.apply(c.entriesHeld, c.entries)
	if !ok {
		c.entriesHeld = 0 // all are asked for next
		return
	}
	c.entriesHeld, c.entries = told.Version, entries
	c.seen(entries, false)
}
