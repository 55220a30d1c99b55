package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Log messages about duties.
const (
	dutyGranted  = "Duty granted"
	dutyTaken    = "Duty taken"
	dutyLost     = "Duty lost"
	dutyReleased = "Duty released"
	dutyCall     = "Duty call"
)

// TokenPrefix marks a query argument as the number of a fencing token.
const TokenPrefix = "token="

// TokenTrace is the history of a fencing token.
type TokenTrace struct {
	Token string
	Lines []Line // in chronological order
	Cause string
}

// TraceToken returns the history of a fencing token, or false if no line names it.
func TraceToken(lines []Line, token string) (TokenTrace, bool) {
	t := TokenTrace{Token: token}
	for _, l := range lines {
		if strings.HasPrefix(l.Message, "Duty ") && l.Fields["token"] == token {
			t.Lines = append(t.Lines, l)
		}
	}
	sortByTime(t.Lines)
	t.Cause = t.cause()
	return t, len(t.Lines) > 0
}

// cause describes who held the token and why, the outcomes of its calls, and its
// end.
func (t *TokenTrace) cause() string {
	cause := "its grant is not in these logs"
	end := "its end is not in these logs"
	outcomes := map[string]int{}
	for _, l := range t.Lines {
		switch l.Message {
		case dutyGranted:
			cause = fmt.Sprintf("granted to %s (%s)", l.Process, l.Fields["why"])
			if l.Fields["waits"] == "true" {
				cause += ", which first waits for a lease, as " + l.Fields["before"] + " may still act"
			}
		case dutyLost:
			end = "lost: " + lossReason(l)
		case dutyReleased:
			end = "released"
		case dutyCall:
			outcomes[l.Fields["outcome"]]++
		}
	}
	return fmt.Sprintf("%s; calls: %s; %s", cause, formatCounts(outcomes), end)
}

// lossReason describes why the duty was lost.
func lossReason(l Line) string {
	switch {
	case l.Fields["released"] == "true":
		return "it was released"
	case l.Fields["leads"] == "false":
		return "the member no longer leads the control group"
	case strings.HasPrefix(l.Fields["left_ms"], "-"):
		return "no majority confirmed in time that the member leads"
	}
	return "the platform refused it"
}

// formatCounts lists the number of calls with each outcome.
func formatCounts(outcomes map[string]int) string {
	if len(outcomes) == 0 {
		return "none"
	}
	var parts []string
	for outcome, n := range outcomes {
		parts = append(parts, fmt.Sprintf("%d %s", n, outcome))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// Write prints the trace.
func (t *TokenTrace) Write(w io.Writer) {
	fmt.Fprintf(w, "token %s\ncause: %s\n\n", t.Token, t.Cause)
	for _, l := range t.Lines {
		mark := "  "
		if l.Message != dutyCall {
			mark = "* "
		}
		fmt.Fprintf(w, "%s%12.4f %-32s %s %s\n", mark, l.Time, l.Process, l.Message, formatFields(l.Fields, "token"))
	}
}
