package control

import (
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/duty"
)

// applyDuty applies a command about who holds the duty. The index of a grant is
// its token: no two entries of the log share one, and what is committed keeps
// it through leaders, snapshots and restarts.
func (s *State) applyDuty(index uint64, c *Command) Result {
	if c.Grant != nil {
		s.duty = s.duty.Granted(duty.Token(index), *c.Grant)
	} else {
		s.duty = s.duty.AfterRelease(*c.Release)
	}
	return Result{Code: walnutramp.CodeOK}
}

// dutyRecord returns who holds the duty, as far as this member has applied the
// log.
func (s *State) dutyRecord() duty.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.duty
}
