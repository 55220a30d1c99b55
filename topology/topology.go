// Package topology tells how far data halls are from each other: halls of one
// region are near, and what passes between regions takes longer and costs
// more. Whoever chooses where a request runs, or whom to tell what, asks it.
package topology

import "slices"

// Distance says how far two data halls are from each other.
type Distance int

// The distances, the nearest first.
const (
	SameHall Distance = iota
	SameRegion
	OtherRegion
)

// Map is the site as one data hall sees it. The zero Map knows no regions:
// every other hall is then in the same one. It is not changed after it is made.
type Map struct {
	hall    string
	regions map[string]string // by data hall
	several bool              // there is more than one region
}

// New returns the map of a data hall; regions names each hall's region.
func New(hall string, regions map[string]string) Map {
	m := Map{hall: hall, regions: regions}
	m.several = len(m.Regions()) > 1
	return m
}

// Hall returns the own data hall.
func (m Map) Hall() string { return m.hall }

// Region returns the region of a data hall, empty where it is not known.
func (m Map) Region(hall string) string { return m.regions[hall] }

// Distance returns how far a data hall is from the own one. A hall whose
// region is not known is held to be in the own region.
func (m Map) Distance(hall string) Distance { return m.Between(m.hall, hall) }

// Between returns how far two data halls are from each other. Where a region is
// not known, they are held to be in the same one.
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

// OwnRegion returns the region of the own data hall, empty where it is not known.
func (m Map) OwnRegion() string { return m.regions[m.hall] }

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

// Several reports whether there is more than one region.
func (m Map) Several() bool { return m.several }
