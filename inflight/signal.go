// Package inflight bounds the requests that all nodes together have in flight at brittle
// targets, which fail if they have to reject too many for want of room.
//
// While a service's targets say that they are brittle, each request needs a lease of one of
// its target's slots. The slots are divided into parts, each of which one node owns; a node
// without a free slot of its own asks an owner. So a target gets no more than it has room
// for, whoever sends it, and the surplus waits or is rejected at the nodes.
package inflight

import (
	"strconv"
	"strings"
)

// Signal is what one response says of its service's targets. The zero value is that of a
// response that does not call them brittle.
type Signal struct {
	Brittle bool
	// Rejections is the number of rejections in a second that a target bears; 0 if unknown.
	Rejections int
	// Invalid is the published text if it is not such a number. The targets count as
	// brittle then.
	Invalid string
}

// maxInvalidText bounds the text of an invalid signal in logs, in bytes.
const maxInvalidText = 64

// ParseSignal parses the values of the header that says how many rejections in a second a
// target bears, a whole number of 0 or more. Of several values the lowest counts.
func ParseSignal(values []string) Signal {
	s := Signal{Brittle: len(values) > 0}
	for i, value := range values {
		n, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || n < 0 {
			text := strings.Join(values, ", ")
			return Signal{Brittle: true, Invalid: text[:min(len(text), maxInvalidText)]}
		}
		if i == 0 || n < s.Rejections {
			s.Rejections = n
		}
	}
	return s
}
