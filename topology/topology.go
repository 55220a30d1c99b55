// Package topology tells how far apart data halls are. Between regions latency and cost
// are higher than within one. Target selection and gossip depend on it.
package topology

import "slices"

// Distance is how far apart two data halls are.
type Distance int

// Distances in increasing order.
const (
	SameHall Distance = iota
	SameRegion
	OtherRegion
)

// Map is the topology as seen from one data hall. The zero Map has no regions, so all
// other halls are in the same one. It is immutable.
type Map struct {
	local       string
	regions     map[string]string // by data hall
	multiRegion bool              // more than one region
}

// New returns the Map seen from a data hall; regions maps data halls to regions.
func New(hall string, regions map[string]string) Map {
	m := Map{local: hall, regions: regions}
	m.multiRegion = len(m.Regions()) > 1
	return m
}

// Hall returns the local data hall.
func (m Map) Hall() string { return m.local }

// Region returns the region of a data hall, empty if unknown.
func (m Map) Region(hall string) string { return m.regions[hall] }

// Distance returns how far a data hall is from the local one.
func (m Map) Distance(hall string) Distance { return m.Between(m.local, hall) }

// Between returns how far apart two data halls are. A data hall of unknown region
// counts as being in the other's region.
func (m Map) Between(a, b string) Distance {
	in, other := m.regions[a], m.regions[b]
	switch {
	case a == b:
		return SameHall
	case in == other || in == "" || other == "":
		return SameRegion
	}
	return OtherRegion
}

// OwnRegion returns the region of the local data hall, empty if unknown.
func (m Map) OwnRegion() string { return m.regions[m.local] }

// Regions returns the names of all regions, sorted.
func (m Map) Regions() []string {
	var names []string
	for _, name := range m.regions {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// MultiRegion reports whether there is more than one region.
func (m Map) MultiRegion() bool { return m.multiRegion }
