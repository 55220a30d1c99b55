package loadshare

import (
	"time"

	"github.com/walnutramp/walnutramp/balance"
)

// sender is the state of another node as reported by its messages. Packet loss is
// repaired by the next full message.
type sender struct {
	sequence uint64 // of its newest message
	location location
	runs     map[uint64]receivedRun
}

// receivedRun is a run as reported by its node.
type receivedRun struct {
	balance.RunReport
	receivedAt time.Time // time of the report
}

// apply applies a message and returns the sender's current runs. Ages that still
// grow are as of now.
func (s *sender) apply(m message, now time.Time) []balance.RunReport {
	s.sequence = m.Sequence
	if m.Full || s.runs == nil {
		s.runs = make(map[uint64]receivedRun, len(m.Runs))
	}
	for _, r := range m.Runs {
		s.runs[r.Number] = receivedRun{RunReport: r.report(), receivedAt: now}
	}
	for _, number := range m.Finished {
		delete(s.runs, number)
	}
	runs := make([]balance.RunReport, 0, len(s.runs))
	for _, r := range s.runs {
		if r.PendingTokens > 0 {
			r.Age += now.Sub(r.receivedAt)
		}
		runs = append(runs, r.RunReport)
	}
	return runs
}
