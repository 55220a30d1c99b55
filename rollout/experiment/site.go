// Package experiment evaluates rollout policies by simulation in virtual time.
// A model of a site's nodes and targets drives the decisions of package rollout
// and counts the wrong ones.
package experiment

import (
	"time"

	"github.com/walnutramp/walnutramp/rollout"
)

// Site describes a service and the nodes that send requests to it.
type Site struct {
	Name     string
	Nodes    int
	Halls    int
	Targets  int // targets per version
	Routes   []Route
	Streams  bool
	Duration time.Duration // rollout duration
	Bounds   rollout.Bounds
}

// Route describes the requests of one route.
type Route struct {
	Name       string
	PerS       float64
	ErrorRate  float64       // error rate of any version
	Latency    time.Duration // median time to the complete answer, or to a stream's first event
	Spread     float64       // standard deviation of the logarithm of Latency
	StreamTime time.Duration // time from a stream's first event to its end
}

// inFlight returns the mean number of requests in flight per target if one
// version receives all requests.
func (s *Site) inFlight() float64 {
	sum := 0.0
	for _, r := range s.Routes {
		sum += r.PerS * (r.Latency + r.StreamTime).Seconds()
	}
	return sum / float64(s.Targets)
}

// defaultBounds are the rollout bounds of the simulated sites.
var defaultBounds = rollout.Bounds{Share: 0.1, Slack: 50, StopWithin: 5 * time.Second}

// defaultDuration is the rollout duration of the simulated sites.
const defaultDuration = 12 * time.Second

func drafts(perS float64) []Route {
	route := func(name string, share float64) Route {
		return Route{Name: name, PerS: share * perS, ErrorRate: 0.005, Latency: 1100 * time.Millisecond, Spread: 0.5, StreamTime: 2500 * time.Millisecond}
	}
	return []Route{route("review", 0.28), route("summary", 0.56), route("write-up", 0.16)}
}

func lookups(perS float64) []Route {
	return []Route{
		{Name: "availability", PerS: 0.81 * perS, ErrorRate: 0.02, Latency: 34 * time.Millisecond, Spread: 0.4},
		{Name: "berth", PerS: 0.19 * perS, ErrorRate: 0.14, Latency: 34 * time.Millisecond, Spread: 0.4},
	}
}

// Sites returns the simulated sites: short lookups on a few plain targets, and
// streamed drafts on model engines, with 12 to 300 nodes.
func Sites() []Site {
	return []Site{
		{Name: "lookups-65", Nodes: 65, Halls: 4, Targets: 4, Routes: lookups(270), Duration: defaultDuration, Bounds: defaultBounds},
		{Name: "drafts-65", Nodes: 65, Halls: 4, Targets: 280, Routes: drafts(65), Streams: true, Duration: defaultDuration, Bounds: defaultBounds},
		{Name: "drafts-300", Nodes: 300, Halls: 4, Targets: 518, Routes: drafts(130), Streams: true, Duration: defaultDuration, Bounds: defaultBounds},
		{Name: "lookups-12", Nodes: 12, Halls: 4, Targets: 4, Routes: lookups(27), Duration: defaultDuration, Bounds: defaultBounds},
		{Name: "drafts-12", Nodes: 12, Halls: 4, Targets: 24, Routes: drafts(6.2), Streams: true, Duration: defaultDuration, Bounds: defaultBounds},
	}
}

// When is the condition under which a bad version fails.
type When string

// The failure conditions.
const (
	AtOnce   When = "at once"
	Later    When = "later"  // from a random time in the middle half of the rollout
	Loaded   When = "loaded" // at targets with a large part of the full load
	OneRoute When = "one route"
)

// FailureConditions returns all failure conditions.
func FailureConditions() []When { return []When{AtOnce, Later, Loaded, OneRoute} }

// Version describes how a new version differs from the old one.
type Version struct {
	Fails float64 // additional error rate
	Slow  float64 // latency factor; 0 or 1 for unchanged
	When  When
}

// Bad reports whether the version has a regression.
func (v Version) Bad() bool { return v.Fails > 0 || v.Slow > 1 }

// Faults selects what else fails, at targets of both versions.
type Faults struct {
	Crashes bool // two outages of a data hall's targets
	Grey    bool // 15% of the targets fail 40% of their requests for some time
}
