package serve

import (
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/fleet"
)

// startFleet has this member order the targets of services while it leads the
// control group. It returns nil on a site where none can be ordered.
func (p *Process) startFleet(m *consensus.Member, s *control.Server, caller *control.DutyHolder) (*control.FleetController, error) {
	if !p.settings.Scales || caller == nil {
		return nil, nil
	}
	platform, err := p.adapter.Platform()
	if err != nil {
		return nil, err
	}
	controller := control.NewFleetController(m, s, caller, platform, p.scalable)
	go controller.Run(p.ctx)
	return controller, nil
}

// scalable returns the services of a document whose targets can be ordered.
func (p *Process) scalable(doc []byte) (map[string]fleet.Service, error) {
	services := map[string]fleet.Service{}
	if len(doc) == 0 {
		return services, nil
	}
	table, err := p.adapter.Table(doc)
	if err != nil {
		return nil, err
	}
	for name, s := range table.Services {
		if s.Scaling != nil {
			services[name] = fleet.Service{Scaling: *s.Scaling, Engine: fleet.Engine{Slots: s.Slots, Memory: s.Memory, Copies: s.Copies}}
		}
	}
	return services, nil
}
