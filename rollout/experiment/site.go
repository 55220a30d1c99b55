// Package experiment plays roll-outs in virtual time: a model of a site's nodes
// and targets drives the real decisions of package rollout, thousands of times
// in seconds, and counts what they got wrong.
package experiment

import (
	"time"

	"github.com/walnutramp/walnutramp/rollout"
)

// Site is the size of a service and of the nodes that send to it.
type Site struct {
	Name     string
	Nodes    int
	Halls    int
	Targets  int // of each version
	Routes   []Route
	Streams  bool
	Duration time.Duration // of a roll-out
	Bounds   rollout.Bounds
}

// Route is one kind of request.
type Route struct {
	Name   string
	PerS   float64
	Fails  float64       // share that any version fails
	Work   time.Duration // until the whole answer, or a stream's first event
	Spread float64       // of the work: the standard deviation of its logarithm
	Run    time.Duration // from a stream's first event to its end
}

// underWay is how many requests are under way at a target, where one version
// gets all.
func (s *Site) underWay() float64 {
	sum := 0.0
	for _, r := range s.Routes {
		sum += r.PerS * (r.Work + r.Run).Seconds()
	}
	return sum / float64(s.Targets)
}

// usersBounds are what the users' site with roll-outs allows.
var usersBounds = rollout.Bounds{Share: 0.1, Slack: 50, StopWithin: 5 * time.Second}

// usualDuration is that of the roll-out in the users' example.
const usualDuration = 12 * time.Second

func drafts(perS float64) []Route {
	part := func(name string, share float64) Route {
		return Route{Name: name, PerS: share * perS, Fails: 0.005, Work: 1100 * time.Millisecond, Spread: 0.5, Run: 2500 * time.Millisecond}
	}
	return []Route{part("review", 0.28), part("summary", 0.56), part("write-up", 0.16)}
}

func lookups(perS float64) []Route {
	return []Route{
		{Name: "availability", PerS: 0.81 * perS, Fails: 0.02, Work: 34 * time.Millisecond, Spread: 0.4},
		{Name: "berth", PerS: 0.19 * perS, Fails: 0.14, Work: 34 * time.Millisecond, Spread: 0.4},
	}
}

// Sites are the sizes of the users' deployments: lookups at four targets, and
// drafts at engines, from a dozen nodes to three hundred.
func Sites() []Site {
	return []Site{
		{Name: "lookups-65", Nodes: 65, Halls: 4, Targets: 4, Routes: lookups(270), Duration: usualDuration, Bounds: usersBounds},
		{Name: "drafts-65", Nodes: 65, Halls: 4, Targets: 280, Routes: drafts(65), Streams: true, Duration: usualDuration, Bounds: usersBounds},
		{Name: "drafts-300", Nodes: 300, Halls: 4, Targets: 518, Routes: drafts(130), Streams: true, Duration: usualDuration, Bounds: usersBounds},
		{Name: "lookups-12", Nodes: 12, Halls: 4, Targets: 4, Routes: lookups(27), Duration: usualDuration, Bounds: usersBounds},
		{Name: "drafts-12", Nodes: 12, Halls: 4, Targets: 24, Routes: drafts(6.2), Streams: true, Duration: usualDuration, Bounds: usersBounds},
	}
}

// When says when a bad version is bad.
type When string

// The ways in which a version is bad.
const (
	AtOnce   When = "at once"
	Later    When = "later"  // from a moment in the middle half of the roll-out
	Loaded   When = "loaded" // at targets that bear about the load of a whole roll-out
	OneRoute When = "one route"
)

// Ways lists them.
func Ways() []When { return []When{AtOnce, Later, Loaded, OneRoute} }

// Version is how a version's answers differ from the old one's.
type Version struct {
	Fails float64 // share that fails beyond the usual
	Slow  float64 // how many times longer answers take; 0 or 1 for as long
	When  When
}

// Bad reports whether the version is bad at all.
func (v Version) Bad() bool { return v.Fails > 0 || v.Slow > 1 }

// Troubles are what else befalls the targets, of both versions.
type Troubles struct {
	Crashes bool // a data hall's targets are down for a while, twice
	Grey    bool // one target in seven fails two requests in five, for a while
}
