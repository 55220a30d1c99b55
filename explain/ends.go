package explain

import (
	"fmt"
	"slices"
	"strings"

	"github.com/walnutramp/walnutramp"
)

// A request can be rejected because earlier requests with the same content crashed
// targets, possibly at other nodes and long before.

// contentMessages are the messages about the quarantine of a request content.
var contentMessages = []string{"Looked at a target that broke off", "Content held back", "Content no longer held back"}

// quarantinedContent returns the content fingerprint of a request that was rejected
// because of its quarantine, or "" for any other result.
func quarantinedContent(last Line) string {
	switch last.code() {
	case walnutramp.CodeQuarantined, walnutramp.CodeCrashesTargets:
		return last.Fields["content"]
	}
	return ""
}

// contentLines returns the lines of other requests about a rejected request's
// content, up to its last line.
func contentLines(all []Line, last Line) []Line {
	content := quarantinedContent(last)
	if content == "" {
		return nil
	}
	var found []Line
	for _, l := range all {
		otherRequest := l.Fields["request"] != last.Fields["request"]
		if l.Fields["content"] == content && otherRequest && l.Time <= last.Time && slices.Contains(contentMessages, l.Message) {
			found = append(found, l)
		}
	}
	return found
}

// crashes lists the targets that crashed while they ran a content.
func (s *RequestTrace) crashes(content string) string {
	var crashed []string
	for _, l := range append(slices.Clone(s.Context), s.Lines...) {
		if l.Fields["content"] == content && l.Fields["ended"] == "true" {
			crashed = append(crashed, fmt.Sprintf("%s (%s, at %.3f under request %s)", l.Fields["target"], l.Fields["standing"], l.Time, l.Fields["request"]))
		}
	}
	if len(crashed) == 0 {
		return "the crashes are not in these logs; other nodes reported them"
	}
	return strings.Join(crashed, ", ")
}
