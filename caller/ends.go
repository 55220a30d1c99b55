package caller

import (
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/route"
)

// contentOf returns the fingerprint of a request of an account.
func contentOf(body []byte, account bundle.Account, what ...string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(body, append([]string{string(account.Name)}, what...)...)
}

// heldBack returns the answer to a new request whose content is held back; nil
// where it is not.
func (h *Handler) heldBack(content quarantine.Fingerprint) error {
	left, held := h.cfg.Quarantine.Held(content)
	if !held {
		return nil
	}
	return walnutramp.NewError(walnutramp.CodeHeldBack, walnutramp.NotRun, "targets end when they run this request").WithRetryAfter(left)
}

// noteBreak notes that a service's target broke its connection off under a call.
func (s *serviceCall) noteBreak(grant *route.Grant, sent time.Time) {
	s.look = s.h.cfg.Quarantine.Broke(quarantine.Break{
		Request: s.key, Content: s.content, Target: string(grant.Target.Name), Address: grant.Target.Address,
		Standing: quarantine.Begun, Sent: sent,
	})
}

// endsTargets returns why a call that a target may have run goes to no other one,
// nil if it may.
func (s *serviceCall) endsTargets() error {
	if _, held := s.h.cfg.Quarantine.HeldAfter(s.look, s.content); !held {
		return nil
	}
	return walnutramp.NewError(walnutramp.CodeEndsTargets, walnutramp.Unknown, "targets end when they run this request")
}
