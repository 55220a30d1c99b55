package loadshare

import (
	"time"

	"github.com/walnutramp/walnutramp/balance"
)

// sender is what another node told, kept up to date by its messages. A change
// that was lost on the way is made good by the next full message.
type sender struct {
	sequence uint64 // of its newest message
	place    place
	runs     map[uint64]heardRun
}

// heardRun is a run as its node told it.
type heardRun struct {
	balance.Shared
	at time.Time // when it was told
}

// take applies a message and returns the sender's runs as they stand now.
func (s *sender) take(m message, now time.Time) []balance.Shared {
	s.sequence = m.Sequence
	if m.Full || s.runs == nil {
		s.runs = make(map[uint64]heardRun, len(m.Runs))
	}
	for _, r := range m.Runs {
		s.runs[r.Number] = heardRun{Shared: r.shared(), at: now}
	}
	for _, number := range m.Over {
		delete(s.runs, number)
	}
	runs := make([]balance.Shared, 0, len(s.runs))
	for _, r := range s.runs {
		if r.Read > 0 {
			r.Age += now.Sub(r.at)
		}
		runs = append(runs, r.Shared)
	}
	return runs
}
