// Package dutycheck fakes the platform that duty holders call, for tests. It
// enforces fencing tokens and checks the recorded calls for violations of mutual
// exclusion.
package dutycheck

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/duty"
)

// Call is one write of a duty holder to the platform.
type Call struct {
	Node    string // the calling node
	Subject duty.Subject
	Content string
	// Once is a key for which all calls must have the same content; empty for none.
	Once    string
	Token   duty.Token
	Written time.Time
	applied bool // took effect at least once
}

// Platform records calls and their effects. It is safe for concurrent use.
type Platform struct {
	mu           sync.Mutex
	calls        []*Call
	appliedCalls map[duty.Subject][]*Call // in the order of application
	highest      map[duty.Subject]duty.Token
	rejected     map[nodeSubject]duty.Token // highest rejected token that the node has been told of
	staleCalls   map[tokenUse]int           // number of calls with a token below the highest
	violations   []string
}

// maxStaleCalls is the number of calls that a node may make on a subject with a
// stale token, since it may miss the response that rejects it.
const maxStaleCalls = 3

// tokenUse identifies a node's use of a token on a subject.
type tokenUse struct {
	nodeSubject
	token duty.Token
}

// nodeSubject identifies a node's calls on a subject.
type nodeSubject struct {
	node    string
	subject duty.Subject
}

// NewPlatform returns a platform without recorded calls.
func NewPlatform() *Platform {
	return &Platform{appliedCalls: map[duty.Subject][]*Call{}, highest: map[duty.Subject]duty.Token{}, rejected: map[nodeSubject]duty.Token{}, staleCalls: map[tokenUse]int{}}
}

// Write records a call as sent. It records a violation if the node knows that the
// token is rejected, or has used a stale token too often.
func (p *Platform) Write(c *Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, c)
	caller := nodeSubject{c.Node, c.Subject}
	if c.Token < p.highest[c.Subject] {
		p.staleCalls[tokenUse{caller, c.Token}]++
	}
	if n := p.staleCalls[tokenUse{caller, c.Token}]; n > maxStaleCalls {
		p.violations = append(p.violations, fmt.Sprintf("%s made %d calls with token %d after a higher token was applied", c.Node, n, c.Token))
	}
	if highestRejected, ok := p.rejected[caller]; ok && c.Token <= highestRejected {
		p.violations = append(p.violations, fmt.Sprintf("%s made a call with token %d after it was told that the token is rejected", c.Node, c.Token))
	}
}

// CarryOut applies a call; a delayed or duplicated call is applied at any later
// time. It returns false if a higher token has been applied.
func (p *Platform) CarryOut(c *Call) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Token < p.highest[c.Subject] {
		return false
	}
	p.highest[c.Subject] = c.Token
	p.appliedCalls[c.Subject] = append(p.appliedCalls[c.Subject], c)
	c.applied = true
	return true
}

// Told records that the calling node received the rejection of the call's token.
func (p *Platform) Told(c *Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	caller := nodeSubject{c.Node, c.Subject}
	p.rejected[caller] = max(p.rejected[caller], c.Token)
}

// TookSince returns the number of applied calls that were written after t.
func (p *Platform) TookSince(t time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.calls {
		if c.applied && c.Written.After(t) {
			n++
		}
	}
	return n
}

// Wrong returns a description of the first violation found, or "". lease is the
// lease duration of a duty.
func (p *Platform) Wrong(lease time.Duration) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.violations) > 0 {
		return p.violations[0]
	}
	calls := slices.Clone(p.calls)
	slices.SortStableFunc(calls, func(a, b *Call) int { return a.Written.Compare(b.Written) })
	for _, violation := range []string{findSharedToken(calls), findInterleaving(calls, lease), findConflict(calls)} {
		if violation != "" {
			return violation
		}
	}
	for subject, ordered := range p.appliedCalls {
		if violation := findOverwrite(ordered); violation != "" {
			return fmt.Sprintf("%s: %s", subject, violation)
		}
	}
	return ""
}

// findSharedToken reports a token that two nodes have used, on any subject.
func findSharedToken(calls []*Call) string {
	owner := map[duty.Token]string{}
	for _, c := range calls {
		if o, ok := owner[c.Token]; ok && o != c.Node {
			return fmt.Sprintf("token %d used by both %s and %s", c.Token, o, c.Node)
		}
		owner[c.Token] = c.Node
	}
	return ""
}

// findInterleaving reports applied calls of nodes in the order A, B, A within one
// lease, on any subjects: one node holds the duty for all of them.
func findInterleaving(calls []*Call, lease time.Duration) string {
	last := map[string]time.Time{} // time of each node's last call
	between := map[string]string{} // another node that has called since then
	for _, c := range calls {
		if !c.applied {
			continue
		}
		since := c.Written.Sub(last[c.Node])
		if b := between[c.Node]; b != "" && since < lease {
			return fmt.Sprintf("interleaved calls of %s, %s, %s within %v", c.Node, b, c.Node, since)
		}
		last[c.Node] = c.Written
		delete(between, c.Node)
		for node := range last {
			if node != c.Node {
				between[node] = c.Node
			}
		}
	}
	return ""
}

// findConflict reports a key that was written with two different contents.
func findConflict(calls []*Call) string {
	firstByKey := map[string]*Call{}
	for _, c := range calls {
		if c.Once == "" || !c.applied {
			continue
		}
		if first, ok := firstByKey[c.Once]; ok && first.Content != c.Content {
			return fmt.Sprintf("%s is %q from %s and %q from %s", c.Once, first.Content, first.Node, c.Content, c.Node)
		}
		firstByKey[c.Once] = c
	}
	return ""
}

// findOverwrite reports a call that was applied after a call with different content
// that was written later.
func findOverwrite(calls []*Call) string {
	for i, c := range calls {
		for _, later := range calls[i+1:] {
			if later.Written.Before(c.Written) && later.Content != c.Content {
				return fmt.Sprintf("older write %q with token %d replaced %q with token %d", later.Content, later.Token, c.Content, c.Token)
			}
		}
	}
	return ""
}
