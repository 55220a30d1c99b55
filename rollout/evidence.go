package rollout

import (
	"math"
	"time"
)

// Key says what answers are counted together.
type Key struct {
	Service  string
	Route    string
	Version  string
	DataHall string // of the target
	Target   string // the target itself, where it has the new version
}

// Outcome says how a target answered.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota // an answer that is no failure of the target
	Failed                // an answer that tells of a failure
	Lost                  // no answer, or one that broke off, was garbled or fell silent
)

// Counts sum what a node saw of a key's targets.
type Counts struct {
	Sent   uint32    `msgpack:"s,omitempty"` // requests that went there
	Served uint32    `msgpack:"a,omitempty"`
	Failed uint32    `msgpack:"f,omitempty"`
	Lost   uint32    `msgpack:"l,omitempty"`
	First  Histogram `msgpack:"t,omitempty"` // time to the first event, or to the whole answer
	Pace   Histogram `msgpack:"p,omitempty"` // mean time between a stream's events
}

// Answered is how many requests ended in one way or another.
func (c *Counts) Answered() uint32 { return c.Served + c.Failed + c.Lost }

func (c *Counts) note(o Outcome) {
	switch o {
	case Served:
		c.Served++
	case Failed:
		c.Failed++
	case Lost:
		c.Lost++
	}
}

// since returns what came between two sums of one node.
func (c *Counts) since(before Counts) Counts {
	return Counts{
		Sent: c.Sent - before.Sent, Served: c.Served - before.Served, Failed: c.Failed - before.Failed, Lost: c.Lost - before.Lost,
		First: c.First.since(before.First), Pace: c.Pace.since(before.Pace),
	}
}

// Add adds other counts.
func (c *Counts) Add(more Counts) {
	c.Sent += more.Sent
	c.Served += more.Served
	c.Failed += more.Failed
	c.Lost += more.Lost
	c.First = c.First.plus(more.First)
	c.Pace = c.Pace.plus(more.Pace)
}

// Cell is one key's counts.
type Cell struct {
	//lint:ignore U1000 msgpack reads it: the fields go without their names
	_msgpack struct{} `msgpack:",as_array"`
	Key      Key
	Counts   Counts
}

// Histogram counts times in buckets. Each bucket is √2 times as wide as the
// one before it, which tells twice as slow from as fast by two buckets. Empty
// buckets at the end are left out.
type Histogram []uint32

// mostBuckets bounds a histogram: the last bucket begins at half a minute.
const mostBuckets = 32

// bucketsPerDoubling is how many buckets a doubling of the time takes.
const bucketsPerDoubling = 2

// bucketStart is the shortest time of a bucket.
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
	return min(1+int(bucketsPerDoubling*math.Log2(ms)), mostBuckets-1)
}

// Note returns the histogram with one more time in it.
func (h Histogram) Note(d time.Duration) Histogram {
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

func (h Histogram) plus(more Histogram) Histogram {
	sum := make(Histogram, max(len(h), len(more)))
	for b := range sum {
		sum[b] = h.at(b) + more.at(b)
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

// total is how many times are counted.
func (h Histogram) total() (n float64) {
	for _, c := range h {
		n += float64(c)
	}
	return n
}

// from is how many times lie in a bucket or above it.
func (h Histogram) from(bucket int) (n float64) {
	for b := bucket; b < len(h); b++ {
		n += float64(h[b])
	}
	return n
}

// slowFrom returns the first bucket of times that count as slow beside these:
// twice their median at least, and beyond all but a small share of them.
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
	for slow < mostBuckets && h.from(slow) > slowShare*total {
		slow++
	}
	return slow
}

// slowShare is the part of sound answers that may count as slow.
const slowShare = 0.05

func (c *Counts) clone() Counts {
	copied := *c
	copied.First = append(Histogram(nil), c.First...)
	copied.Pace = append(Histogram(nil), c.Pace...)
	return copied
}
