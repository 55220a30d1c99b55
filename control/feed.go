package control

import (
	"github.com/walnutramp/walnutramp/discovery"
	"k8s.io/klog/v2"
)

// FedFunc takes the leader's word on the list of targets. It reports false for a change
// that does not fit what was taken: the whole is asked for then.
type FedFunc func(discovery.Feed) bool

// FeedTargets has the leader's list of targets told to fed. It must be called
// before Start.
func (c *Client) FeedTargets(fed FedFunc) { c.fed = fed }

// takeRoster hands the leader's list of targets on.
func (c *Client) takeRoster(r RosterReply) {
	if c.fed == nil || r.Version == 0 {
		return
	}
	f, err := r.feed(c.held)
	if err != nil {
		klog.ErrorS(err, "List of targets not taken")
	}
	if err != nil || !c.fed(f) {
		c.held = 0
		return
	}
	c.held = r.Version
}

// SeenFunc takes the entries of the site; same says that they are those taken last, and
// entries is nil then. It must not change them.
type SeenFunc func(entries []EntryPlace, same bool)

// AsEntry makes the node known as an entry, and has all entries told to seen. It must be
// called before Start.
func (c *Client) AsEntry(as EntryPlace, seen SeenFunc) { c.entry, c.seen = as, seen }

// takeEntries hands the entries on that an answer tells of.
func (c *Client) takeEntries(r *NewestReply) {
	told := &r.Directory
	if told.Version == 0 && r.EntriesVersion != 0 { // an older build's
		told = &DirectoryReply{Version: r.EntriesVersion, Joined: unplaced(r.Entries)}
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
