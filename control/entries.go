package control

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entryLife is how long an entry counts as there since it asked.
const entryLife = 4 * time.Second

// entries are the entry nodes that asked for the newest document lately.
type entries struct {
	mu    sync.Mutex
	heard map[string]time.Time
}

// note notes an entry that asks; an empty address is none.
func (e *entries) note(asker string) {
	if asker == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.heard == nil {
		e.heard = map[string]time.Time{}
	}
	e.heard[asker] = time.Now()
}

// all returns the entries that asked lately, in order.
func (e *entries) all() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	live := make([]string, 0, len(e.heard))
	for address, at := range e.heard {
		if now.Sub(at) > entryLife {
			delete(e.heard, address)
			continue
		}
		live = append(live, address)
	}
	slices.Sort(live)
	return live
}

// count returns how many entries asked lately.
func (e *entries) count() int { return len(e.all()) }

// told returns all entries that asked lately with their version, for an asker
// that needs to know them; the addresses only where it holds another version.
func (e *entries) told(args NewestArgs) (addresses []string, version uint64) {
	if !args.wantsRoster() {
		return nil, 0
	}
	live := e.all()
	version = max(1, xxhash.Sum64String(strings.Join(live, " ")))
	if version == args.Entries {
		return nil, version
	}
	return live, version
}
