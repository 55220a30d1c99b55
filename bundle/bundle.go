// Package bundle reads and checks the operators' versioned document: which
// models run where, who may call, what is leaving, and how guarding and
// resuming lean. A bundle is immutable once parsed.
package bundle

import (
	"strings"
	"time"

	"github.com/walnutramp/walnutramp"
)

// Kind says what a target is.
type Kind string

// The kinds of target.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Leaning says which of the two measures a site weighs more.
type Leaning string

// The leanings: latency resumes sooner and spends more, cost the reverse.
const (
	LeanLatency Leaning = "latency"
	LeanCost    Leaning = "cost"
)

// Bundle is the whole document.
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

// Admission says how long a request may wait for a place. One that would wait
// longer is told so at once.
type Admission struct {
	Patience time.Duration `yaml:"patience"`
}

// Placement says whether and how fast this system loads models on engines.
type Placement struct {
	Orders bool `yaml:"orders"` // give orders at all
	Loads  int  `yaml:"loads"`  // loads under way at once, what the weight store bears
}

// Model is a model callers may name.
type Model struct {
	Name     walnutramp.ModelName `yaml:"name"`
	Context  int                  `yaml:"context"` // tokens, prompt and output together
	Adapters []string             `yaml:"adapters"`
	Version  string               `yaml:"version"` // of the weights; empty where there is one only
	Canary   int                  `yaml:"canary"`  // percent of its targets that load a new version before the rest
}

// Artifact names what an engine loads for a model: the model, and its version
// where it has one.
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
	Address      string                 `yaml:"address"` // numeric host:port
	Models       []walnutramp.ModelName `yaml:"models"`
	Slots        int                    `yaml:"slots"` // requests it runs at once
	ChecksOrders bool                   `yaml:"checksOrders"`
}

// Service is a plain service the system routes to.
type Service struct {
	Name    string                  `yaml:"name"`
	Targets []walnutramp.TargetName `yaml:"targets"`
	Routes  []Route                 `yaml:"routes"`
}

// Route says whether calls under a path may be repeated. The longest matching
// prefix wins; a call that matches none is not repeatable.
type Route struct {
	Method     string `yaml:"method"`
	Path       string `yaml:"path"`
	Repeatable bool   `yaml:"repeatable"`
}

// Account is a client account.
type Account struct {
	Name     walnutramp.ClientAccount `yaml:"name"`
	Keys     []string                 `yaml:"keys"`     // "sha256:" and 64 hex digits
	Priority int                      `yaml:"priority"` // larger goes first
	Weight   int                      `yaml:"weight"`   // share among equals
	Limits   Limits                   `yaml:"limits"`
}

// Limits bound an account over the whole site; zero means no bound.
type Limits struct {
	Concurrent        int `yaml:"concurrent"`
	RequestsPerSecond int `yaml:"requestsPerSecond"`
	TokensPerSecond   int `yaml:"tokensPerSecond"`
}

// Guard says how generations are protected against the loss of entry nodes.
type Guard struct {
	Replicas int           `yaml:"replicas"` // 1 (none), 3 or 5, the owner included
	Coalesce time.Duration `yaml:"coalesce"` // how long tokens may wait to share a message
}

// Resume says how broken generations are taken up again.
type Resume struct {
	Leaning Leaning `yaml:"leaning"`
}

// Objective is a service-level objective of one account and model; an empty
// field stands for all of them.
type Objective struct {
	Name           string                   `yaml:"name"`
	Account        walnutramp.ClientAccount `yaml:"account"`
	Model          walnutramp.ModelName     `yaml:"model"`
	FirstToken     time.Duration            `yaml:"firstToken"`
	BetweenTokens  time.Duration            `yaml:"betweenTokens"`
	ResumeGap      time.Duration            `yaml:"resumeGap"`
	GoodPercentage float64                  `yaml:"goodPercentage"`
}

// Target returns the target of that name.
func (b *Bundle) Target(name walnutramp.TargetName) (Target, bool) {
	for _, t := range b.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return Target{}, false
}

// Model returns the model of that name.
func (b *Bundle) Model(name walnutramp.ModelName) (Model, bool) {
	for _, m := range b.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the service of that name.
func (b *Bundle) Service(name string) (Service, bool) {
	for _, s := range b.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// IsLeaving reports whether the bundle says that the target is leaving.
func (b *Bundle) IsLeaving(name walnutramp.TargetName) bool {
	for _, l := range b.Leaving {
		if l == name {
			return true
		}
	}
	return false
}

// AccountOf returns the account that owns a hashed key.
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

// Repeatable reports whether a call of the service may be sent again.
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

// ServiceModel is the name under which the router keeps a service's targets.
func ServiceModel(service string) walnutramp.ModelName {
	return walnutramp.ModelName("service/" + service)
}
