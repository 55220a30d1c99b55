package balance

// Lives returns the lives of targets by their short names; the empty one for a
// life that is not listed.
func (t *Tracker) Lives(short []uint32) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lives := make([]string, len(short))
	for i, name := range short {
		if target := t.byShort[name]; target != nil {
			lives[i] = target.life
		}
	}
	return lives
}
