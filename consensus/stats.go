package consensus

// Stats counts leadership events since the member's start.
type Stats struct {
	Elected            uint64 // elections won
	Deposed            uint64 // leaderships lost while no transfer was in progress, also by Close or a disk failure
	Transfers          uint64 // completed transfers requested through TransferLeadership
	PlacementTransfers uint64 // completed transfers to a better placed member
	FailedTransfers    uint64 // transfers that failed
}

// Stats returns the member's counters.
func (m *Member) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

// countTransfer counts a leadership transfer that was completed (done) or failed.
// The caller holds the member's mutex.
func (s *Stats) countTransfer(done, toBetterPlaced bool) {
	switch {
	case !done:
		s.FailedTransfers++
	case toBetterPlaced:
		s.PlacementTransfers++
	default:
		s.Transfers++
	}
}
