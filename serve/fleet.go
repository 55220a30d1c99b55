package serve

import (
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/fleet"
)

// startFleet starts the controller that scales the services' targets while this
// member leads the control group. It returns nil if scaling or duties are disabled.
func (p *Process) startFleet(m *consensus.Member, s *control.Server, holder *control.DutyHolder) (*control.FleetController, error) {
	if !p.settings.Scales || holder == nil {
		return nil, nil
	}
	platform, err := p.adapter.Platform()
	if err != nil {
		return nil, err
	}
	controller := control.NewFleetController(m, s, holder, platform, p.scalableServices)
	go controller.Run(p.ctx)
	return controller, nil
}

// scalableServices returns the services of a configuration document that have a
// scaling configuration.
func (p *Process) scalableServices(doc []byte) (map[string]fleet.Service, error) {
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
