// Package dutycheck is a platform's side of duties for tests: it looks at
// fences as calls take effect, and holds what it saw to the rules for holders.
package dutycheck

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/duty"
)

// Call is one call as it was written.
type Call struct {
	Node    string // the machine that wrote it
	Subject duty.Subject
	Content string
	// Once names what must have one content whoever tells it; empty for none.
	Once    string
	Token   duty.Token
	Written time.Time
	took    bool // it took effect, at least once
}

// Platform keeps what it saw. It is safe for use by several tasks at a time.
type Platform struct {
	mu      sync.Mutex
	calls   []*Call
	carried map[duty.Subject][]*Call // in the order in which they took effect
	highest map[duty.Subject]duty.Token
	refused map[place]duty.Token // that the machine was told
	behind  map[shown]int        // calls under a token below the highest
	bad     []string
}

// fencedCalls is how many calls under a refused token a platform bears on a
// subject: a holder may miss an answer.
const fencedCalls = 3

// shown is a token as a machine showed it.
type shown struct {
	place
	token duty.Token
}

// place is a machine's calls on a subject.
type place struct {
	node    string
	subject duty.Subject
}

// NewPlatform returns a platform that has seen no call.
func NewPlatform() *Platform {
	return &Platform{carried: map[duty.Subject][]*Call{}, highest: map[duty.Subject]duty.Token{}, refused: map[place]duty.Token{}, behind: map[shown]int{}}
}

// Write notes that a call was written, and finds one under a token that its
// machine was told is refused.
func (p *Platform) Write(c *Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, c)
	at := place{c.Node, c.Subject}
	if c.Token < p.highest[c.Subject] {
		p.behind[shown{at, c.Token}]++
	}
	if n := p.behind[shown{at, c.Token}]; n > fencedCalls {
		p.bad = append(p.bad, fmt.Sprintf("%s made %d calls under token %d after a higher one", c.Node, n, c.Token))
	}
	if told, ok := p.refused[at]; ok && c.Token <= told {
		p.bad = append(p.bad, fmt.Sprintf("%s calls under token %d, of which it was told that it is refused", c.Node, c.Token))
	}
}

// CarryOut has a call take effect, now or late or once more. False says that a
// higher token was seen.
func (p *Platform) CarryOut(c *Call) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Token < p.highest[c.Subject] {
		return false
	}
	p.highest[c.Subject] = c.Token
	p.carried[c.Subject] = append(p.carried[c.Subject], c)
	c.took = true
	return true
}

// Told notes that the machine of a call read that its token is refused.
func (p *Platform) Told(c *Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := place{c.Node, c.Subject}
	p.refused[at] = max(p.refused[at], c.Token)
}

// TookSince returns how many calls written since a time took effect.
func (p *Platform) TookSince(t time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.calls {
		if c.took && c.Written.After(t) {
			n++
		}
	}
	return n
}

// Wrong returns a rule that was broken, empty if none was.
func (p *Platform) Wrong(lease time.Duration) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.bad) > 0 {
		return p.bad[0]
	}
	calls := slices.Clone(p.calls)
	slices.SortStableFunc(calls, func(a, b *Call) int { return a.Written.Compare(b.Written) })
	for _, what := range []string{sharedToken(calls), inTurn(calls, lease), twoContents(calls)} {
		if what != "" {
			return what
		}
	}
	for subject, carried := range p.carried {
		if what := undone(carried); what != "" {
			return fmt.Sprintf("%s: %s", subject, what)
		}
	}
	return ""
}

// sharedToken finds two machines that showed one token.
func sharedToken(calls []*Call) string {
	owner := map[duty.Token]string{}
	for _, c := range calls {
		if o, ok := owner[c.Token]; ok && o != c.Node {
			return fmt.Sprintf("token %d of %s and %s", c.Token, o, c.Node)
		}
		owner[c.Token] = c.Node
	}
	return ""
}

// inTurn finds machines that acted in the order A, B, A within a lease, as far
// as the platform took their calls.
func inTurn(calls []*Call, lease time.Duration) string {
	last := map[string]time.Time{} // of each machine's calls
	between := map[string]string{} // who called since then
	for _, c := range calls {
		if !c.took {
			continue
		}
		since := c.Written.Sub(last[c.Node])
		if b := between[c.Node]; b != "" && since < lease {
			return fmt.Sprintf("%s, %s, %s within %v", c.Node, b, c.Node, since)
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

// twoContents finds what was told in two ways.
func twoContents(calls []*Call) string {
	told := map[string]*Call{}
	for _, c := range calls {
		if c.Once == "" || !c.took {
			continue
		}
		if first, ok := told[c.Once]; ok && first.Content != c.Content {
			return fmt.Sprintf("%s is %q from %s and %q from %s", c.Once, first.Content, first.Node, c.Content, c.Node)
		}
		told[c.Once] = c
	}
	return ""
}

// undone finds a call that took effect behind one with other content that was
// written after it.
func undone(carried []*Call) string {
	for i, c := range carried {
		for _, later := range carried[i+1:] {
			if later.Written.Before(c.Written) && later.Content != c.Content {
				return fmt.Sprintf("%q of token %d undid %q of token %d", later.Content, later.Token, c.Content, c.Token)
			}
		}
	}
	return ""
}
