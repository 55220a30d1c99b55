package balance

import "github.com/cespare/xxhash/v2"

// ShortName names a target or a node in four bytes, for messages that name
// many. Of 12,000 names two are alike once in 60 sites; what is known of these
// two is added up.
func ShortName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// IDs returns the IDs of targets by their short names; the empty one for a
// target that is not listed.
func (t *Tracker) IDs(short []uint32) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]string, len(short))
	for i, name := range short {
		if target := t.byShort[name]; target != nil {
			ids[i] = target.ID
		}
	}
	return ids
}
