package control

import (
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// contact notes whether a node hears the control group, and logs when that
// changes: one line when a question first fails, one when an answer comes again.
type contact struct {
	mu    sync.Mutex
	stats ContactStats
	lost  time.Time // when the first of the failed questions was asked; zero while answers come
	tries int       // failed questions since
}

// ContactStats counts a node's questions to the control group since its start.
type ContactStats struct {
	Asked  uint64
	Failed uint64 // no answer in time, or one that says to ask elsewhere
}

// failed notes a question that brought no word.
func (c *contact) failed(node walnutramp.NodeName, version uint64, asked time.Time, why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Asked++
	c.stats.Failed++
	c.tries++
	if !c.lost.IsZero() {
		return
	}
	c.lost = asked
	klog.InfoS("Control group not heard", "asked", node, "waited", uptime.Since(asked), "version", version, "err", why)
}

// heard notes an answer.
func (c *contact) heard(node walnutramp.NodeName, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Asked++
	if c.lost.IsZero() {
		return
	}
	klog.InfoS("Control group heard again", "asked", node, "after", uptime.Since(c.lost), "tries", c.tries, "version", version)
	c.lost, c.tries = time.Time{}, 0
}

// ContactStats returns how the node's questions to the control group fared.
func (c *Client) ContactStats() ContactStats {
	c.contact.mu.Lock()
	defer c.contact.mu.Unlock()
	return c.contact.stats
}
