// Package part sets pprof labels on goroutines, so that a CPU profile can be
// split by subsystem.
package part

import (
	"context"
	"runtime/pprof"
)

// Label is the key of the pprof label.
const Label = "part"

// Label values, one per subsystem. Goroutines inherit the label of the goroutine
// that starts them; goroutines without a label do not belong to a node.
const (
	Callers = "callers" // serving clients and reading from engines
	Guard   = "guard"   // replication of generations
	Control = "control" // membership, bundles, consensus, load reports
)

// Do runs f with the label set to name, one of the constants.
func Do(name string, f func()) {
	pprof.Do(context.Background(), pprof.Labels(Label, name), func(context.Context) { f() })
}
