// Package groupclock tells the time that the members of the control group
// agree on, which no minority of wrong clocks moves.
package groupclock

import "time"

// Clock tells true time.
type Clock interface {
	// Now returns the time and by how much it may be off; false while it is
	// not known.
	Now() (now time.Time, within time.Duration, known bool)
}
