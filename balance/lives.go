package balance

// Incarnations returns the incarnations whose short names (shortname.Of) are given, in
// the same order; an empty string for one that is not listed.
func (t *Tracker) Incarnations(short []uint32) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	incarnations := make([]string, len(short))
	for i, name := range short {
		if target := t.byShortName[name]; target != nil {
			incarnations[i] = target.incarnation
		}
	}
	return incarnations
}
