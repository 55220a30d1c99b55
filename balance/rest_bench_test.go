package balance

import "testing"

// BenchmarkTargetWithoutCooldown measures what cooldowns cost a request at a
// target that never requested one: Admit just before sending, InCooldown once
// connected, and RecordResponse at the response.
func BenchmarkTargetWithoutCooldown(b *testing.B) {
	tracker := newTracker(targetList("s", "north", "i-1")...)
	target := tracker.byID["i-1"]
	for b.Loop() {
		target.Admit()
		target.InCooldown()
		target.RecordResponse()
	}
}
