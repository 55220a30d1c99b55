package balance

import (
	"fmt"
	"testing"
)

// BenchmarkPickLimited measures a selection by the number of engines while all of them
// publish a rate limit and few have a permit left.
func BenchmarkPickLimited(b *testing.B) {
	for _, engines := range []int{20, 500, 10000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			var ids []string
			for i := range engines {
				ids = append(ids, fmt.Sprint(i))
			}
			tracker := newTracker(targetList("s", "north", ids...)...)
			for i, id := range ids {
				tracker.SetLimited(id, true, i%100 == 0)
			}
			c := choice(5000)
			c.Allowance = func(t *Target) Allowance {
				if t.limitOwned {
					return AllowanceInHand
				}
				return NoAllowance
			}
			b.ReportAllocs()
			for b.Loop() {
				tracker.Pick(c)
			}
		})
	}
}

// A target with a rate limit must be selected only while it has an allowance, and like any
// other once it has none.
func TestLimitedTargetNeedsAnAllowance(t *testing.T) {
	tracker := newTracker(targetList("s", "north", "1", "2")...)
	tracker.SetLimited("1", true, false)
	allowance := NoAllowance
	c := choice(0)
	c.Allowance = func(*Target) Allowance { return allowance }
	picked := func() map[string]int {
		count := map[string]int{}
		for range 50 {
			count[tracker.Pick(c).ID]++
		}
		return count
	}
	if n := picked()["1"]; n != 0 {
		t.Errorf("picked %d times without an allowance", n)
	}
	allowance = AllowanceInHand
	if n := picked()["1"]; n == 0 {
		t.Error("not picked with an allowance")
	}
	allowance = NoAllowance
	tracker.SetLimited("1", false, false)
	if n := picked()["1"]; n == 0 {
		t.Error("not picked without a limit")
	}
}
