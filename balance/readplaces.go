package balance

import "time"

// An engine caches the prompts that it has prefilled until others displace them. A
// retry, as after a node's power loss, is answered soonest by the target
// that has prefilled its prompt.

// Bounds of the prompt index.
const (
	// promptEntryTTL is the minimum lifetime of an entry: longer than clients wait for a
	// stalled response, and about as long as a busy engine keeps a prompt cached.
	promptEntryTTL = 30 * time.Second
	// maxPromptEntries bounds the number of entries, of about 100 bytes each.
	maxPromptEntries = 8192
)

// promptIndex maps keys to the targets that prefilled their prompts. It has two
// generations, of which the older is dropped as a whole.
type promptIndex struct {
	newer, older map[string]string // incarnation by key
	rotatedAt    time.Time         // start of the newer generation
}

// record records that a target has prefilled a key's prompt.
func (p *promptIndex) record(key, target string, now time.Time) {
	if key == "" || target == "" {
		return
	}
	if p.newer == nil || now.Sub(p.rotatedAt) > promptEntryTTL || len(p.newer) >= maxPromptEntries/2 {
		p.older, p.newer, p.rotatedAt = p.newer, map[string]string{}, now
	}
	p.newer[key] = target
}

// lookup returns the target that last prefilled a key's prompt, empty if unknown.
func (p *promptIndex) lookup(key string) string {
	if target, ok := p.newer[key]; ok {
		return target
	}
	return p.older[key]
}

// prefilledAt returns the available target that has prefilled the prompt of c, nil if
// none is known. The caller holds the mutex.
func (t *Tracker) prefilledAt(c Choice, now time.Time) *Target {
	target := t.byIncarnation[t.prompts.lookup(c.Key)]
	if target == nil || target.Service != c.Service || !target.available(now) || target.suspect(now) {
		return nil
	}
	return target
}

// likelyCacheHolder returns the target most likely to have the prompt of c cached, nil
// if unknown. The caller holds the mutex.
func (t *Tracker) likelyCacheHolder(c Choice, now time.Time) *Target {
	if c.Key == "" {
		return nil
	}
	if target := t.prefilledAt(c, now); target != nil {
		return target
	}
	if c.Retried {
		return t.affinityTarget(c, now)
	}
	return nil
}
