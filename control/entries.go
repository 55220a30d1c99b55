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

// noted notes who asks, and returns all who asked lately, in order, with their
// version; the asker is told the addresses only where it holds another, and
// nothing if it is no entry.
func (e *entries) noted(asker string, held uint64) (addresses []string, version uint64) {
	if asker == "" {
		return nil, 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.heard == nil {
		e.heard = map[string]time.Time{}
	}
	now := time.Now()
	e.heard[asker] = now
	live := make([]string, 0, len(e.heard))
	for address, at := range e.heard {
		if now.Sub(at) > entryLife {
			delete(e.heard, address)
			continue
		}
		live = append(live, address)
	}
	slices.Sort(live)
	version = max(1, xxhash.Sum64String(strings.Join(live, " ")))
	if version == held {
		return nil, version
	}
	return live, version
}
