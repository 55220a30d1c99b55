package load

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/internal/site"
	"github.com/walnutramp/walnutramp/standin"
)

// Shape is a site as one of the deployments has it.
type Shape struct {
	Name     string
	Halls    int
	Nodes    int
	Engines  int
	Services int
	Between  time.Duration // one way, between data halls
	Client   time.Duration // one way, from callers
	Accounts int
	Leaning  bundle.Leaning
	Coalesce time.Duration
	Slots    int           // of each engine; 0 for the stand-in's default
	Patience time.Duration // for a place at a target; 0 for the node's own
}

// Shapes are the deployments that can be driven embedded.
var Shapes = []Shape{
	{Name: "small", Halls: 3, Nodes: 3, Engines: 4, Services: 1, Accounts: 2, Leaning: bundle.LeanLatency, Coalesce: 10 * time.Millisecond},
	{Name: "tortuguero", Halls: 4, Nodes: 11, Engines: 24, Services: 4, Between: time.Millisecond, Client: time.Millisecond, Accounts: 10, Leaning: bundle.LeanLatency, Coalesce: 10 * time.Millisecond},
	{Name: "po-valley", Halls: 3, Nodes: 12, Engines: 36, Services: 4, Between: 1500 * time.Microsecond, Client: 3 * time.Millisecond, Accounts: 10, Leaning: bundle.LeanCost, Coalesce: 25 * time.Millisecond},
}

// ShapeNamed returns the shape of that name.
func ShapeNamed(name string) (Shape, error) {
	for _, s := range Shapes {
		if s.Name == name {
			return s, nil
		}
	}
	return Shape{}, errors.Newf("no shape %q", name)
}

// largeAccounts of a site's accounts carry most of its load.
const (
	largeAccounts = 3
	largeShare    = 6
)

// siteConfig turns the shape into a site to run.
func (s Shape) siteConfig(seed uint64) site.Config {
	cfg := site.Default()
	cfg.Name = s.Name
	cfg.Halls = nil
	for i := range s.Halls {
		cfg.Halls = append(cfg.Halls, walnutramp.DataHall(fmt.Sprintf("hall-%c", 'a'+i)))
	}
	cfg.Nodes, cfg.Engines, cfg.Services = s.Nodes, s.Engines, s.Services
	cfg.Engine = standin.DefaultEngineConfig()
	cfg.Leaning = s.Leaning
	cfg.Guard = bundle.Guard{Replicas: 3, Coalesce: s.Coalesce}
	cfg.Patience = s.Patience
	if s.Slots > 0 {
		cfg.Engine.Slots = s.Slots
	}
	cfg.Network = &site.Loopback{Between: s.Between, Client: s.Client}
	cfg.Accounts = nil
	for i := range s.Accounts {
		cfg.Accounts = append(cfg.Accounts, bundle.Account{Name: s.account(i), Weight: s.share(i)})
	}
	cfg.Seed = seed
	return cfg
}

func (s Shape) account(i int) walnutramp.ClientAccount {
	return walnutramp.ClientAccount(fmt.Sprintf("account-%02d", i+1))
}

// share is an account's part of the load, and its weight.
func (s Shape) share(i int) int {
	if i < largeAccounts {
		return largeShare
	}
	return 1
}
