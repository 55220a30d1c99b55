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

// Platform takes the calls that one process of the site at a time may make.
type Platform interface {
	metering.Reporter
	fleet.Scaler
}

// startDuties has this member hold the site's duties while it leads the control
// group. A site without any gets no holder.
func (p *Process) startDuties(self peer.Identity, m *consensus.Member, s *control.Server) *control.DutyHolder {
	if !p.settings.Duties.Enabled() {
		return nil
	}
	holder := control.NewDutyHolder(m, s, self.Node, p.settings.Duties, control.WithHolderName(p.settings.Name))
	go holder.Run(p.ctx)
	return holder
}

// dutyFinish is for calls under way when the process stops, and for the word
// that none follows.
const dutyFinish = 1 * time.Second

// releaseDuties gives up what the process holds, so that another member can go
// on at once.
func (r *replica) releaseDuties() {
	if r.duties == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dutyFinish)
	defer cancel()
	r.duties.Release(ctx)
}
