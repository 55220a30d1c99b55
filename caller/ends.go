package caller

import (
	"time"

	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/route"
)

// contentOf returns the fingerprint of a request of an account.
func contentOf(body []byte, account bundle.Account, what ...string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(body, append([]string{string(account.Name)}, what...)...)
}

// noteBreak notes that a service's target broke its connection off under a call.
func (s *serviceCall) noteBreak(grant *route.Grant, sent time.Time) {
	s.look = s.h.cfg.Quarantine.Broke(quarantine.Break{
		Request: s.key, Content: s.content, Target: string(grant.Target.Name), Address: grant.Target.Address,
		Standing: quarantine.Begun, Sent: sent,
	})
}
