// Package bundle parses, validates, signs and diffs the operators' versioned
// configuration document: models, targets, services, client accounts and
// policies. A bundle is immutable once parsed.
package bundle

import (
	"strings"
	"time"

	"github.com/walnutramp/walnutramp"
)

// Kind is the kind of a target.
type Kind string

// Kinds of target.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// ResumePreference is a site's trade-off between latency and cost when it resumes
// generations.
type ResumePreference string

// PreferLatency resumes sooner at a higher cost; PreferCost does the reverse.
const (
	PreferLatency ResumePreference = "latency"
	PreferCost    ResumePreference = "cost"
)

// Bundle is a parsed configuration document.
type Bundle struct {
	Version    uint64                  `yaml:"version"`
	Site       string                  `yaml:"site"`
	Models     []Model                 `yaml:"models"`
	Targets    []Target                `yaml:"targets"`
	Services   []Service               `yaml:"services"`
	Accounts   []Account               `yaml:"accounts"`
	Leaving    []walnutramp.TargetName `yaml:"leaving"`
	Guard      Guard                   `yaml:"guard"`
	Resume     Resume                  `yaml:"resume"`
	Admission  Admission               `yaml:"admission"`
	Placement  Placement               `yaml:"placement"`
	Objectives []Objective             `yaml:"objectives"`
}

// Admission bounds how long a request may queue. A request that would have to
// wait longer is rejected at once.
type Admission struct {
	Patience time.Duration `yaml:"patience"`
}

// Placement controls whether and how fast models are loaded on engines.
type Placement struct {
	Orders bool `yaml:"orders"` // whether load orders are sent at all
	Loads  int  `yaml:"loads"`  // maximum concurrent model loads, limited by the weight store
}

// Model is a model that callers may request.
type Model struct {
	Name     walnutramp.ModelName `yaml:"name"`
	Context  int                  `yaml:"context"` // context length in tokens, prompt and output together
	Adapters []string             `yaml:"adapters"`
	Version  string               `yaml:"version"` // version of the weights; empty if there is only one
	Canary   int                  `yaml:"canary"`  // percentage of its targets that load a new version first
}

// Artifact returns the name under which an engine loads the model: the model's
// name, followed by @ and its version if it has one.
func (m Model) Artifact() string {
	if m.Version == "" {
		return string(m.Name)
	}
	return string(m.Name) + "@" + m.Version
}

// Target is one engine or service process.
type Target struct {
	Name         walnutramp.TargetName  `yaml:"name"`
	DataHall     walnutramp.DataHall    `yaml:"dataHall"`
	Kind         Kind                   `yaml:"kind"`
	Address      string                 `yaml:"address"` // numeric IP:port
	Models       []walnutramp.ModelName `yaml:"models"`
	Slots        int                    `yaml:"slots"` // maximum concurrent requests
	ChecksOrders bool                   `yaml:"checksOrders"`
}

// Service is a plain service that requests are routed to.
type Service struct {
	Name    string                  `yaml:"name"`
	Targets []walnutramp.TargetName `yaml:"targets"`
	Routes  []Route                 `yaml:"routes"`
}

// Route declares whether calls of a method, or of any if Method is empty, under a
// path prefix may be retried. The longest matching prefix wins, and the first of
// equal ones; a call without a match is not retried.
type Route struct {
	Method     string `yaml:"method"`
	Path       string `yaml:"path"`
	Repeatable bool   `yaml:"repeatable"`
}

// Account is a client account.
type Account struct {
	Name     walnutramp.ClientAccount `yaml:"name"`
	Keys     []string                 `yaml:"keys"`     // "sha256:" and 64 hex digits
	Priority int                      `yaml:"priority"` // higher values are served first
	Weight   int                      `yaml:"weight"`   // share among accounts of equal priority
	Limits   Limits                   `yaml:"limits"`
}

// Limits are an account's limits, which each node enforces for its own requests; zero
// means unlimited. No node enforces TokensPerSecond.
type Limits struct {
	Concurrent        int `yaml:"concurrent"`
	RequestsPerSecond int `yaml:"requestsPerSecond"`
	TokensPerSecond   int `yaml:"tokensPerSecond"`
}

// Guard configures the replication of generations, which protects them against
// the loss of entry nodes.
type Guard struct {
	Replicas int           `yaml:"replicas"` // replica set size, the owner included: 1 (no replication), 3 or 5
	Coalesce time.Duration `yaml:"coalesce"` // maximum delay of tokens for batching into one message
}

// Resume configures how interrupted generations are resumed.
type Resume struct {
	Leaning ResumePreference `yaml:"leaning"`
}

// Objective is a service-level objective for an account and model; an empty
// Account or Model matches all, and a zero duration sets no limit.
type Objective struct {
	Name           string                   `yaml:"name"`
	Account        walnutramp.ClientAccount `yaml:"account"`
	Model          walnutramp.ModelName     `yaml:"model"`
	FirstToken     time.Duration            `yaml:"firstToken"`
	BetweenTokens  time.Duration            `yaml:"betweenTokens"`
	ResumeGap      time.Duration            `yaml:"resumeGap"`
	GoodPercentage float64                  `yaml:"goodPercentage"`
}

// Target returns the target with the given name.
func (b *Bundle) Target(name walnutramp.TargetName) (Target, bool) {
	for _, t := range b.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return Target{}, false
}

// Model returns the model with the given name.
func (b *Bundle) Model(name walnutramp.ModelName) (Model, bool) {
	for _, m := range b.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the service with the given name.
func (b *Bundle) Service(name string) (Service, bool) {
	for _, s := range b.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// IsLeaving reports whether the bundle lists the target as leaving.
func (b *Bundle) IsLeaving(name walnutramp.TargetName) bool {
	for _, l := range b.Leaving {
		if l == name {
			return true
		}
	}
	return false
}

// AccountOf returns the account that owns a hashed API key.
func (b *Bundle) AccountOf(keyHash string) (Account, bool) {
	for _, a := range b.Accounts {
		for _, k := range a.Keys {
			if k == keyHash {
				return a, true
			}
		}
	}
	return Account{}, false
}

// Repeatable reports whether a call of the service may be retried.
func (s *Service) Repeatable(method, path string) bool {
	best := Route{}
	for _, r := range s.Routes {
		if (r.Method == "" || r.Method == method) && pathUnder(path, r.Path) && len(r.Path) > len(best.Path) {
			best = r
		}
	}
	return best.Repeatable
}

func pathUnder(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// ServiceModel returns the model name under which the router registers a
// service's targets.
func ServiceModel(service string) walnutramp.ModelName {
	return walnutramp.ModelName("service/" + service)
}
