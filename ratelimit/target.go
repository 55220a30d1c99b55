package ratelimit

import (
	"slices"
	"strconv"
	"time"

	"github.com/walnutramp/walnutramp/quota"
	"k8s.io/klog/v2"
)

// targetState is what the node knows of one target, and its slots as far as it owns them.
type targetState struct {
	name    string // incarnation
	notice  Notice
	invalid bool // an invalid limit was logged
	queued  bool // its limit is still to be sent to other nodes
	usedAt  time.Time

	members  uint64 // version of the list of nodes that owners were taken from
	owners   [Slots]string
	mine     [Slots]bool
	buckets  [Slots]bucket    // of slots that this node owns
	freeAt   [Slots]time.Time // when owners are expected to have a permit, if they denied one
	probeAt  time.Time        // when this node probes the limit, if it is unconfirmed
	spare    []Permit         // that were granted and not used
	returnAt time.Time        // when a request that is rejected should return, by the latest reply
	returns  time.Time        // when the last request that an own slot denied should return
}

func (s *targetState) owned() bool { return slices.Contains(s.mine[:], true) }

// logInvalid logs the first limit of a target that can't be followed.
func (s *targetState) logInvalid(signal Signal) {
	if s.invalid {
		return
	}
	s.invalid = true
	klog.InfoS("Ignoring a target's rate limit", "target", s.name, "text", signal.Invalid, "perSecond", signal.PerSecond)
}

// updateOwners brings the owners up to date and reports whether this node may use its own
// slots now. The caller holds the limiter's mutex.
func (l *Limiter) updateOwners(s *targetState) (usable bool) {
	if l.ownership == nil {
		for slot := range s.mine {
			s.mine[slot] = true
		}
		return true
	}
	members, usable := l.ownership.Members()
	if members.Version() != s.members {
		s.members = members.Version()
		s.setOwners(members, l.ownership.Self())
	}
	return usable
}

// setOwners determines the owners of the slots. A slot that this node did not own in the
// list before begins full: its previous owner last used it more than a Span ago.
func (s *targetState) setOwners(members quota.Members, self string) {
	for slot := range s.owners {
		s.owners[slot] = members.Owner(s.name + "/" + strconv.Itoa(slot))
		mine := s.owners[slot] == self
		if mine && !s.mine[slot] {
			s.buckets[slot] = bucket{}
		}
		s.mine[slot] = mine
	}
}

// soonest returns the own slot that has a permit first, and the time until then; never
// if there is none.
func (s *targetState) soonest(now time.Time) (slot int, wait time.Duration) {
	wait = never
	for i, mine := range s.mine {
		if !mine {
			continue
		}
		perSecond, burst := slotRate(s.notice.Rate, i)
		if perSecond == 0 {
			continue
		}
		if w := s.buckets[i].wait(now, perSecond, burst); w < wait {
			slot, wait = i, w
		}
	}
	return slot, wait
}
