package loadshare

import (
	"time"

	"github.com/walnutramp/walnutramp/balance"
)

// sender is the state of another node as reported by its messages. Packet loss is
// repaired by the next full message.
type sender struct {
	sequence uint64    // of its newest message
	heardAt  time.Time // when that arrived
	location location
	runs     map[uint64]receivedRun
}

// receivedRun is a run as reported by its node.
type receivedRun struct {
	balance.RunReport
	receivedAt time.Time // time of the report
}

// restartWait is how long a node must have been silent for a report with a lower sequence number
// to be that of its next process, whose clock is behind, rather than a late one: longer than
// between two full reports.
const restartWait = 2 * time.Second

// outdated reports whether a newer message of the node's process has been applied.
func (s *sender) outdated(m message, now time.Time) bool {
	restarted := m.Full && now.Sub(s.heardAt) > restartWait
	return m.Sequence <= s.sequence && !restarted
}

// apply applies a message and returns the sender's current runs. Ages that still
// grow are as of now.
func (s *sender) apply(m message, now time.Time) []balance.RunReport {
	s.sequence, s.heardAt = m.Sequence, now
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
