package balance

import (
	"fmt"
	"slices"
	"testing"

	"github.com/walnutramp/walnutramp/discovery"
)

// manyEngines returns n targets of one data hall.
func manyEngines(n int) []discovery.Target {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("engine-", i))
	}
	return targetList("s", "north", ids...)
}

// BenchmarkUpdate measures a new list from which one target is missing.
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

// BenchmarkChange measures the removal and return of one target of a long list.
func BenchmarkChange(b *testing.B) {
	for _, engines := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			list := manyEngines(engines)
			tracker := newTracker(list...)
			for n := 0; b.Loop(); n++ {
				at := n % engines
				tracker.ApplyChange(discovery.Change{Removed: []string{list[at].ID}})
				tracker.ApplyChange(discovery.Change{Put: list[at : at+1]})
			}
		})
	}
}
