package balance

import "time"

// An engine keeps the prompts that it read in its cache, until others take
// their place. A request that comes again, as after its node lost power, is
// answered soonest where its prompt was read, and nothing is read twice.

// Bounds of what is remembered of read prompts.
const (
	// readPlaceLife is how long a place is remembered at the least. It is
	// longer than callers wait for an answer that stopped, and about as long
	// as a busy engine's cache holds a prompt.
	readPlaceLife = 30 * time.Second
	// maxReadPlaces bounds the memory of a node, some 100 bytes each.
	maxReadPlaces = 8192
)

// readPlaces remembers at which target the prompt of a key was read. It has
// two generations: the older one is dropped whole, so nothing is searched for
// what is too old.
type readPlaces struct {
	newer, older map[string]string // target ID by key
	turned       time.Time         // when the newer generation was begun
}

// note remembers that a target has read a key's prompt.
func (p *readPlaces) note(key, target string, now time.Time) {
	if key == "" || target == "" {
		return
	}
	if p.newer == nil || now.Sub(p.turned) > readPlaceLife || len(p.newer) >= maxReadPlaces/2 {
		p.older, p.newer, p.turned = p.newer, map[string]string{}, now
	}
	p.newer[key] = target
}

// of returns the target that read a key's prompt last, empty if that is not
// known.
func (p *readPlaces) of(key string) string {
	if target, ok := p.newer[key]; ok {
		return target
	}
	return p.older[key]
}

// readPlace returns the target that has read a choice's prompt and still takes
// work, nil if none is known. The caller holds the mutex.
func (t *Tracker) readPlace(c Choice, now time.Time) *Target {
	target := t.byLife[t.read.of(c.Key)]
	if target == nil || target.Service != c.Service || !target.open(now) || target.suspect(now) {
		return nil
	}
	return target
}

// keeper returns the target that most likely keeps a choice's prompt in its
// cache, nil if none does. The caller holds the mutex.
func (t *Tracker) keeper(c Choice, now time.Time) *Target {
	if c.Key == "" {
		return nil
	}
	if target := t.readPlace(c, now); target != nil {
		return target
	}
	if c.Again {
		return t.home(c, now)
	}
	return nil
}
