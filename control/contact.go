package control

import (
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// contactMonitor tracks whether a node reaches the control group. It logs the first
// request that fails and the first that succeeds again.
type contactMonitor struct {
	mu           sync.Mutex
	stats        ContactStats
	failingSince time.Time // when the first failed request was sent; zero while requests succeed
	failures     int       // failed requests since
}

// ContactStats counts a node's requests to the control group since its start.
type ContactStats struct {
	Asked  uint64
	Failed uint64 // no answer, or one with another code than CodeOK, as a redirect
}

// recordFailure records a request without a usable answer.
func (c *contactMonitor) recordFailure(node walnutramp.NodeName, version uint64, askedAt time.Time, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Asked++
	c.stats.Failed++
	c.failures++
	if !c.failingSince.IsZero() {
		return
	}
	c.failingSince = askedAt
	klog.InfoS("Control group not heard", "asked", node, "waited", uptime.Since(askedAt), "version", version, "err", cause)
}

// recordAnswer records an answered request.
func (c *contactMonitor) recordAnswer(node walnutramp.NodeName, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Asked++
	if c.failingSince.IsZero() {
		return
	}
	klog.InfoS("Control group reachable again", "asked", node, "after", uptime.Since(c.failingSince), "tries", c.failures, "version", version)
	c.failingSince, c.failures = time.Time{}, 0
}

// ContactStats returns the counts of the node's requests to the control group.
func (c *Client) ContactStats() ContactStats {
	c.contact.mu.Lock()
	defer c.contact.mu.Unlock()
	return c.contact.stats
}
