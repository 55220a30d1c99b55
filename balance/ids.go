package balance

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
