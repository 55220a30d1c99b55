package explain

import (
	"fmt"

	"github.com/walnutramp/walnutramp"
)

// A stream is bound to the software version that wrote its first event, over all attempts of
// its client. An attempt that takes a stream up names the first one.

const (
	runBegins   = "Run begins"
	takenUp     = "Client takes a stream up"
	goesOn      = "Stream goes on"
	beginsThere = "Run begins through another node"
)

// otherAttempts returns the lines of the other attempts of a request's stream that say which
// version they ran at, or that they took the stream up.
func otherAttempts(all, own []Line) []Line {
	request, first := own[0].Fields["request"], own[0].Fields["request"]
	for _, l := range own {
		if l.Message == takenUp && l.Fields["resumes"] != "" {
			first = l.Fields["resumes"]
		}
	}
	attempts := map[string]bool{first: true}
	for _, l := range all {
		if l.Message == takenUp && l.Fields["resumes"] == first {
			attempts[l.Fields["request"]] = true
		}
	}
	delete(attempts, request)
	var found []Line
	for _, l := range all {
		if attempts[l.Fields["request"]] && (l.Message == takenUp || l.Message == goesOn || l.Message == runBegins || l.Message == beginsThere) {
			found = append(found, l)
		}
	}
	return found
}

// softwareCause returns why a stream could not go on at its software version; false if that
// is not why it ended.
func (s *RequestTrace) softwareCause(last Line) (cause, advice string, ok bool) {
	switch {
	case last.code() == walnutramp.CodeVersionUnknown:
		return fmt.Sprintf("no node could tell which software version began the stream (%s)", s.field(takenUp, "source")),
			"look for the nodes that kept its record: several ended in one stream's time, or the client names an attempt that never had an event", true
	case last.code() == walnutramp.CodeVersionGone || last.Fields["versionGone"] == "true":
		return fmt.Sprintf("the stream was begun by software version %q, of which no target was left after event %s", s.software(), last.Fields["last"]),
			"events of other versions don't fit; the client has to begin anew. Let a version's targets leave only after its streams", true
	}
	return "", "", false
}

// software returns the version to which the request's stream was bound.
func (s *RequestTrace) software() string {
	if version := s.field(takenUp, "software"); version != "" {
		return version
	}
	for _, message := range []string{runBegins, beginsThere} {
		if version := s.field(message, "software"); version != "" {
			return version
		}
	}
	return ""
}

// field returns a field of the request's last line with a message.
func (s *RequestTrace) field(message, name string) (value string) {
	for _, l := range s.Lines {
		if l.Message == message {
			value = l.Fields[name]
		}
	}
	return value
}
