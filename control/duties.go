package control

import (
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/duty"
)

// applyDuty applies a grant or release of the duty. The log index of a grant is
// its fencing token: indexes are unique and survive leader changes, snapshots
// and restarts.
func (s *State) applyDuty(index uint64, c *Command) Result {
	if c.Grant != nil {
		s.duty = s.duty.Granted(duty.Token(index), *c.Grant)
	} else {
		s.duty = s.duty.AfterRelease(*c.Release)
	}
	return Result{Code: walnutramp.CodeOK}
}

// dutyRecord returns the duty record as applied by this member.
func (s *State) dutyRecord() duty.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.duty
}
