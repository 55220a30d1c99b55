// Package part labels goroutines with the part of the system they work for,
// so that a processor profile can be split by part.
package part

import (
	"context"
	"runtime/pprof"
)

// Label is the key of the profile label.
const Label = "part"

// The parts. A goroutine's children belong to its part unless they say
// otherwise; goroutines without a label are not the node's.
const (
	Callers = "callers" // answering callers and reading engines
	Guard   = "guard"   // replicating generations and answering replicas
	Control = "control" // membership, bundles, consensus, load reports
)

// Do runs f as work of a part.
func Do(name string, f func()) {
	pprof.Do(context.Background(), pprof.Labels(Label, name), func(context.Context) { f() })
}
