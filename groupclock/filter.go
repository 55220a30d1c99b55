package groupclock

import "time"

const (
	// drift bounds the relative drift of two monotonic clocks.
	drift = 200e-6
	// keptSamples is the number of samples among which the one with the lowest
	// error is selected.
	keptSamples = 8
)

// sample is one measurement of a wall clock against a monotonic clock.
type sample struct {
	at     time.Duration // monotonic time of the measurement
	offset time.Duration // wall clock time since the Unix epoch, minus the monotonic time
	within time.Duration // error bound of the offset
}

// newSample returns the sample of a wall clock that was read between request
// and reply. unix is the wall clock time since the Unix epoch; asked and answered
// are monotonic times. The round trip, less held, the time for which the reply was
// held back (0 if unknown), is assumed to be symmetric.
func newSample(unix, asked, answered time.Duration, held time.Duration) sample {
	half := max(0, answered-asked-held) / 2
	return sample{at: answered, offset: unix + half - answered, within: half}
}

// withinAt returns the error bound at a later time, including drift.
func (s sample) withinAt(now time.Duration) time.Duration {
	return s.within + time.Duration(drift*float64(now-s.at))
}

// contradicts reports whether a sample and an older one, other, are inconsistent
// within their error bounds.
func (s sample) contradicts(other sample) bool {
	apart := (s.offset - other.offset).Abs()
	return apart > s.within+other.withinAt(s.at)
}

// filter holds the newest samples of one clock.
type filter struct {
	samples []sample
}

// add adds a sample. Older samples that contradict it were taken before the
// clock was set, and are dropped.
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

// best returns the sample with the lowest error bound at now; false if there is
// none.
func (f *filter) best(now time.Duration) (sample, bool) {
	var best sample
	for i, s := range f.samples {
		if i == 0 || s.withinAt(now) < best.withinAt(now) {
			best = s
		}
	}
	return best, len(f.samples) > 0
}
