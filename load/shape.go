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

// Shape is the size and network latency of a site under load. Nodes, Engines and
// Services are totals over all data halls.
type Shape struct {
	Name     string
	Halls    int
	Nodes    int
	Engines  int
	Services int
	Between  time.Duration // one-way latency between data halls
	Client   time.Duration // one-way latency between clients and the site
	Accounts int
	Leaning  bundle.ResumePreference
	Coalesce time.Duration // maximum delay of tokens for batching, as in bundle.Guard
	Slots    int           // per engine; 0 for the default of the stand-in engine
	Patience time.Duration // admission timeout; 0 for the node's default
}

// Shapes are the predefined shapes: a small site for short runs, and two larger sites
// with different resume preferences.
var Shapes = []Shape{
	{Name: "small", Halls: 3, Nodes: 3, Engines: 4, Services: 1, Accounts: 2, Leaning: bundle.PreferLatency, Coalesce: 10 * time.Millisecond},
	{Name: "tortuguero", Halls: 4, Nodes: 11, Engines: 24, Services: 4, Between: time.Millisecond, Client: time.Millisecond, Accounts: 10, Leaning: bundle.PreferLatency, Coalesce: 10 * time.Millisecond},
	{Name: "po-valley", Halls: 3, Nodes: 12, Engines: 36, Services: 4, Between: 1500 * time.Microsecond, Client: 3 * time.Millisecond, Accounts: 10, Leaning: bundle.PreferCost, Coalesce: 25 * time.Millisecond},
}

// ShapeNamed returns the predefined shape with the given name.
func ShapeNamed(name string) (Shape, error) {
	for _, s := range Shapes {
		if s.Name == name {
			return s, nil
		}
	}
	return Shape{}, errors.Newf("unknown shape %q", name)
}

// The first largeAccountCount client accounts of a site have largeAccountWeight, all
// others weight 1.
const (
	largeAccountCount  = 3
	largeAccountWeight = 6
)

// siteConfig returns the configuration of a site of this shape.
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
		cfg.Accounts = append(cfg.Accounts, bundle.Account{Name: s.accountName(i), Weight: s.weight(i)})
	}
	cfg.Seed = seed
	return cfg
}

func (s Shape) accountName(i int) walnutramp.ClientAccount {
	return walnutramp.ClientAccount(fmt.Sprintf("account-%02d", i+1))
}

// weight returns the scheduling weight of an account, which is also its relative
// share of the load.
func (s Shape) weight(i int) int {
	if i < largeAccountCount {
		return largeAccountWeight
	}
	return 1
}
