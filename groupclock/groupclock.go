// Package groupclock provides a common time that the control group's members
// agree on, and that a minority of wrong clocks cannot change.
package groupclock

import "time"

// Clock tells the group time.
type Clock interface {
	// Now returns the time and its error bound; known is false while the time
	// is unknown.
	Now() (now time.Time, within time.Duration, known bool)
}
