package serve

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/fleet"
	"github.com/walnutramp/walnutramp/metering"
	"github.com/walnutramp/walnutramp/peer"
)

// Platform makes the calls to the site's platform that only one process of the
// site may make at a time: usage reports and scaling orders.
type Platform interface {
	metering.Reporter
	fleet.Scaler
}

// startDuties makes this member hold the site's duties (leases for exclusive
// platform calls) while it leads the control group. It returns nil if duties
// are disabled.
func (p *Process) startDuties(self peer.Identity, m *consensus.Member, s *control.Server) *control.DutyHolder {
	if !p.settings.Duties.Enabled() {
		return nil
	}
	holder := control.NewDutyHolder(m, s, self.Node, p.settings.Duties, control.WithHolderName(p.settings.Name))
	go holder.Run(p.ctx)
	return holder
}

// dutyReleaseTimeout bounds the wait for in-flight platform calls and for the
// release of the lease when the process stops.
const dutyReleaseTimeout = 1 * time.Second

// releaseDuties releases the duty lease, so that another member can take it
// without waiting for it to expire.
func (r *replica) releaseDuties() {
	if r.duties == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dutyReleaseTimeout)
	defer cancel()
	r.duties.Release(ctx)
}
