package balance

import (
	"fmt"
	"slices"
	"testing"

	"github.com/walnutramp/walnutramp/discovery"
)

// manyEngines returns so many targets of one data hall.
func manyEngines(n int) []discovery.Target {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("engine-", i))
	}
	return listed("s", "north", ids...)
}

// BenchmarkUpdate shows what a new list costs of which one target leaves.
func BenchmarkUpdate(b *testing.B) {
	for _, engines := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			list := manyEngines(engines)
			tracker := newTracker(list...)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				at := n % engines
				tracker.Update(slices.Concat(list[:at], list[at+1:]))
			}
		})
	}
}

// BenchmarkChange shows what one target of a long list costs that leaves and comes back.
func BenchmarkChange(b *testing.B) {
	for _, engines := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			list := manyEngines(engines)
			tracker := newTracker(list...)
			for n := 0; b.Loop(); n++ {
				at := n % engines
				tracker.Change(discovery.Change{Removed: []string{list[at].ID}})
				tracker.Change(discovery.Change{Put: list[at : at+1]})
			}
		})
	}
}
