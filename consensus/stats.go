package consensus

// Stats counts what a member did since its start.
type Stats struct {
	Elected       uint64 // elections it won
	Deposed       uint64 // terms of its own that ended without a hand-over
	HandedOver    uint64 // at its owner's word
	HandedNearer  uint64 // to a better placed member
	HandOverFails uint64 // in which it kept the leadership
}

// Stats returns what the member did since its start.
func (m *Member) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

// noteHandOver counts a hand-over. The caller holds the mutex.
func (s *Stats) noteHandOver(done, nearer bool) {
	switch {
	case !done:
		s.HandOverFails++
	case nearer:
		s.HandedNearer++
	default:
		s.HandedOver++
	}
}
