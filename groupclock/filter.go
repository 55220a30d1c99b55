package groupclock

import "time"

const (
	// drift is by how much two steady clocks may run apart: twice what a
	// quartz that is out of its usual range does.
	drift = 200e-6
	// keptSamples is among how many the one that travelled fastest is looked
	// for: some of a few are always undisturbed, and old ones drift.
	keptSamples = 8
)

// sample is one measurement of a time of day against a steady clock.
type sample struct {
	at     time.Duration // when it was taken, on the steady clock
	offset time.Duration // time of day since 1970, less the steady clock's reading
	within time.Duration // by how much the offset may be off
}

// measured returns the sample of a time of day that was read between a
// question and its answer. Half of the way is taken for each direction.
func measured(unix, asked, answered time.Duration, held time.Duration) sample {
	half := max(0, answered-asked-held) / 2
	return sample{at: answered, offset: unix + half - answered, within: half}
}

// withinAt is by how much the sample may be off at a time.
func (s sample) withinAt(now time.Duration) time.Duration {
	return s.within + time.Duration(drift*float64(now-s.at))
}

// contradicts reports whether two samples can't both be true of one clock.
func (s sample) contradicts(other sample) bool {
	apart := (s.offset - other.offset).Abs()
	return apart > s.within+other.withinAt(s.at)
}

// filter keeps the newest samples of one clock.
type filter struct {
	samples []sample
}

// add takes a sample. Older ones that it contradicts are of a clock that was
// set since, and are dropped.
func (f *filter) add(s sample) {
	kept := make([]sample, 0, keptSamples)
	for _, old := range f.samples {
		if !s.contradicts(old) {
			kept = append(kept, old)
		}
	}
	kept = append(kept, s)
	f.samples = kept[max(0, len(kept)-keptSamples):]
}

// best returns the sample that is off by least now; false if there is none.
func (f *filter) best(now time.Duration) (sample, bool) {
	var best sample
	for i, s := range f.samples {
		if i == 0 || s.withinAt(now) < best.withinAt(now) {
			best = s
		}
	}
	return best, len(f.samples) > 0
}
