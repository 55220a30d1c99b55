package balance

import (
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// AskedForRest notes that the target, when it turned a request of this node away,
// asked it for a rest.
func (t *Target) AskedForRest(d time.Duration) {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	if until := uptime.Now().Add(d); until.After(t.restUntil) {
		t.restUntil = until
	}
}

// RestLeft returns for how long the target still wants nothing from this node; 0
// or less once its rest is over.
func (t *Target) RestLeft() time.Duration {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	return uptime.Until(t.restUntil)
}
