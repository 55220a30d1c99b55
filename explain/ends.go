package explain

import (
	"fmt"
	"slices"
	"strings"

	"github.com/walnutramp/walnutramp"
)

// Requests under which targets end are held back for what other requests of the
// same content did, at any node, long before.

// contentMessages tell what is known of a content.
var contentMessages = []string{"Looked at a target that broke off", "Content held back", "Content no longer held back"}

// heldContent returns the content for which a request ended as it did; empty
// where that was for something else.
func heldContent(last Line) string {
	switch last.code() {
	case walnutramp.CodeHeldBack, walnutramp.CodeEndsTargets:
		return last.Fields["content"]
	}
	return ""
}

// ofContent returns the lines up to a request's last that tell of its content.
func ofContent(all []Line, last Line) []Line {
	content := heldContent(last)
	if content == "" {
		return nil
	}
	var found []Line
	for _, l := range all {
		other := l.Fields["request"] != last.Fields["request"]
		if l.Fields["content"] == content && other && l.Time <= last.Time && slices.Contains(contentMessages, l.Message) {
			found = append(found, l)
		}
	}
	return found
}

// endsOf tells under which runs of a content targets ended.
func (s *Story) endsOf(content string) string {
	var ends []string
	for _, l := range append(slices.Clone(s.Context), s.Lines...) {
		if l.Fields["content"] == content && l.Fields["ended"] == "true" {
			ends = append(ends, fmt.Sprintf("%s (%s, at %.3f under request %s)", l.Fields["target"], l.Fields["standing"], l.Time, l.Fields["request"]))
		}
	}
	if len(ends) == 0 {
		return "no log has the ends; nodes told each other"
	}
	return strings.Join(ends, ", ")
}
