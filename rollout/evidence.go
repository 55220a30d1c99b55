package rollout

import (
	"math"
	"time"
)

// Key identifies a group of answers that are counted together.
type Key struct {
	Service  string
	Route    string
	Version  string
	DataHall string // of the target
	Target   string // target ID; in counts, empty for the old version
}

// Outcome classifies a target's answer.
type Outcome int

// The answer outcomes.
const (
	Served Outcome = iota // an answer that is not a target failure
	Failed                // an answer that reports a failure
	Lost                  // no answer, or one that was truncated, malformed or stalled
)

// Counts are a node's cumulative answer statistics for one key.
type Counts struct {
	Sent   uint32    `msgpack:"s,omitempty"` // requests sent
	Served uint32    `msgpack:"a,omitempty"`
	Failed uint32    `msgpack:"f,omitempty"`
	Lost   uint32    `msgpack:"l,omitempty"`
	First  Histogram `msgpack:"t,omitempty"` // time to first event, or to the complete answer
	Pace   Histogram `msgpack:"p,omitempty"` // mean interval between the events of a stream
}

// Answered returns the number of finished requests, including lost ones.
func (c *Counts) Answered() uint32 { return c.Served + c.Failed + c.Lost }

// add counts a finished request.
func (c *Counts) add(o Outcome) {
	switch o {
	case Served:
		c.Served++
	case Failed:
		c.Failed++
	case Lost:
		c.Lost++
	}
}

// since returns the difference to an earlier snapshot of the same node.
func (c *Counts) since(before Counts) Counts {
	return Counts{
		Sent: c.Sent - before.Sent, Served: c.Served - before.Served, Failed: c.Failed - before.Failed, Lost: c.Lost - before.Lost,
		First: c.First.since(before.First), Pace: c.Pace.since(before.Pace),
	}
}

// Add adds other to c.
func (c *Counts) Add(other Counts) {
	c.Sent += other.Sent
	c.Served += other.Served
	c.Failed += other.Failed
	c.Lost += other.Lost
	c.First = c.First.sum(other.First)
	c.Pace = c.Pace.sum(other.Pace)
}

// Cell is the counts of one key.
type Cell struct {
	//lint:ignore U1000 msgpack uses it: the struct is encoded as an array
	_msgpack struct{} `msgpack:",as_array"`
	Key      Key
	Counts   Counts
}

// Histogram counts durations in exponential buckets that widen by a factor of
// √2, so a doubling spans two buckets. The first bucket holds durations below
// 1 ms. Empty buckets at the end are omitted.
type Histogram []uint32

// maxBuckets limits the length of a histogram; the last bucket holds all
// durations from about 33 s on.
const maxBuckets = 32

// bucketsPerDoubling is the number of buckets that a doubling of the duration
// spans.
const bucketsPerDoubling = 2

// bucketStart returns the lower bound of a bucket.
func bucketStart(b int) time.Duration {
	if b == 0 {
		return 0
	}
	return time.Duration(math.Exp2(float64(b-1)/bucketsPerDoubling) * float64(time.Millisecond))
}

func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms < 1 {
		return 0
	}
	return min(1+int(bucketsPerDoubling*math.Log2(ms)), maxBuckets-1)
}

// Add adds d and returns the histogram; as with append, only the result may be used.
func (h Histogram) Add(d time.Duration) Histogram {
	b := bucketOf(d)
	for len(h) <= b {
		h = append(h, 0)
	}
	h[b]++
	return h
}

func (h Histogram) at(b int) uint32 {
	if b < len(h) {
		return h[b]
	}
	return 0
}

func (h Histogram) sum(other Histogram) Histogram {
	sum := make(Histogram, max(len(h), len(other)))
	for b := range sum {
		sum[b] = h.at(b) + other.at(b)
	}
	return sum
}

func (h Histogram) since(before Histogram) Histogram {
	rest := make(Histogram, len(h))
	for b := range rest {
		rest[b] = h[b] - before.at(b)
	}
	return rest
}

// total returns the number of samples.
func (h Histogram) total() (n float64) {
	for _, c := range h {
		n += float64(c)
	}
	return n
}

// atLeast returns the number of samples in a bucket and all above it.
func (h Histogram) atLeast(bucket int) (n float64) {
	for b := bucket; b < len(h); b++ {
		n += float64(h[b])
	}
	return n
}

// slowFrom returns the first bucket that counts as slow: at least twice the
// median, and with at most slowShare of the samples at or above it. It may lie
// above the last bucket.
func (h Histogram) slowFrom() int {
	total := h.total()
	below, median := 0.0, 0
	for b := range h {
		below += float64(h[b])
		if 2*below >= total {
			median = b
			break
		}
	}
	slow := median + bucketsPerDoubling
	for slow < maxBuckets && h.atLeast(slow) > slowShare*total {
		slow++
	}
	return slow
}

// slowShare is the highest share of baseline samples that may count as slow.
const slowShare = 0.05

func (c *Counts) clone() Counts {
	clone := *c
	clone.First = append(Histogram(nil), c.First...)
	clone.Pace = append(Histogram(nil), c.Pace...)
	return clone
}
