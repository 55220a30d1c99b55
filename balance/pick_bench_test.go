package balance

import (
	"fmt"
	"testing"
)

// BenchmarkPick measures a selection by the number of engines, with two reported runs
// at each.
func BenchmarkPick(b *testing.B) {
	for _, engines := range []int{20, 100, 500, 2000, 10000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			var ids []string
			var runs []RunReport
			for i := range engines {
				ids = append(ids, fmt.Sprint(i))
				for n := range 2 {
					runs = append(runs, RunReport{Number: uint64(2*i + n), Target: fmt.Sprint(i), MemoryTokens: 5000, Trace: Trace{Copy: fmt.Sprint((i + 1) % engines)}})
				}
			}
			tracker := newTracker(targetList("s", "north", ids...)...)
			tracker.SetPeerRuns("n2", runs)
			b.ReportAllocs()
			for b.Loop() {
				tracker.Pick(choice(5000))
			}
		})
	}
}
