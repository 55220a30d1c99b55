package caller

import (
	"time"

	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/route"
)

// fingerprintOf returns the fingerprint of a request of an account.
func fingerprintOf(body []byte, account bundle.Account, what ...string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(body, append([]string{string(account.Name)}, what...)...)
}

// recordConnectionLoss records that a service's target closed the connection during a call.
func (s *serviceCall) recordConnectionLoss(grant *route.Grant, sent time.Time) {
	s.crashProbe = s.h.cfg.Quarantine.StartProbe(quarantine.BrokenConn{
		Request: s.key, Content: s.fingerprint, Target: string(grant.Target.Name), Address: grant.Target.Address,
		Standing: quarantine.Begun, Sent: sent,
	})
}
