package drain

import (
	"cmp"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/walnutramp/walnutramp/internal/reqlimit"
)

const (
	// maxHeadMemory bounds the memory of large request heads, in bytes, and headShare does so
	// as a fraction of the process's memory.
	maxHeadMemory = 16 << 20
	headShare     = 1.0 / 8
	// bodyShare bounds the memory of request bodies as a fraction of the process's memory.
	bodyShare = 1.0 / 8
	// connMemory is the memory, in bytes, that a connection takes beside large heads and the
	// bodies of its requests.
	connMemory = 24 << 10
	// assumedMemory is the memory assumed for a process without a limit, in bytes.
	assumedMemory = 256 << 20
	// assumedDescriptors are assumed where the limit can't be read.
	assumedDescriptors = 1024
)

// Resources are the limits of a process, from which those of its clients follow.
type Resources struct {
	Memory      int64 // in bytes
	Descriptors int
}

// ProcessResources returns the memory limit of the Go runtime and the limit of descriptors of
// this process, or a lower one if maxDescriptors is set.
func ProcessResources(maxDescriptors int) Resources {
	r := Resources{Memory: min(debug.SetMemoryLimit(-1), assumedMemory), Descriptors: assumedDescriptors}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		r.Descriptors = int(min(limit.Cur, 1<<30))
	}
	if maxDescriptors > 0 {
		r.Descriptors = min(r.Descriptors, maxDescriptors)
	}
	return r
}

// ClientLimits are settings that bound what clients may take of a process; 0 leaves the default
// of each.
type ClientLimits struct {
	HeadMemoryMB   int           // for large request heads
	BodyMemoryMB   int           // for request bodies that are not bounded otherwise
	MaxConnections int           // open at a time
	BodyTimeout    time.Duration // for reading a request body; not bounded by default
}

// Heads returns the budget of the memory of large request heads.
func (r Resources) Heads(l ClientLimits) *reqlimit.Budget {
	memory := int64(min(maxHeadMemory, headShare*float64(r.Memory)))
	return reqlimit.NewBudget(cmp.Or(int64(l.HeadMemoryMB)<<20, memory))
}

// Bodies returns the budget of the memory of request bodies.
func (r Resources) Bodies(l ClientLimits) *reqlimit.Budget {
	return reqlimit.NewBudget(cmp.Or(int64(l.BodyMemoryMB)<<20, int64(bodyShare*float64(r.Memory))))
}

// MaxConns returns how many connections a server may have that may use a share of the
// resources.
func (r Resources) MaxConns(share float64) int {
	return max(1, int(share*min(float64(r.Descriptors), float64(r.Memory)/connMemory)))
}
