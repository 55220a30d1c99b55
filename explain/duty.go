package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Messages about the duty.
const (
	dutyGranted  = "Duty granted"
	dutyTaken    = "Duty taken"
	dutyLost     = "Duty lost"
	dutyReleased = "Duty released"
	dutyCall     = "Duty call"
)

// TokenPrefix stands before the number of a fencing token, where the story of
// one is asked for.
const TokenPrefix = "token="

// Token is what the logs tell of a fencing token.
type Token struct {
	Token string
	Lines []Line // in order of time
	Cause string
}

// TellToken tells of a fencing token; false if no line names it.
func TellToken(lines []Line, token string) (Token, bool) {
	t := Token{Token: token}
	for _, l := range lines {
		if strings.HasPrefix(l.Message, "Duty ") && l.Fields["token"] == token {
			t.Lines = append(t.Lines, l)
		}
	}
	inOrder(t.Lines)
	t.Cause = t.cause()
	return t, len(t.Lines) > 0
}

// cause says who had the token, why, and what came of its calls.
func (t *Token) cause() string {
	cause := "its grant is not in these logs"
	end := "no end of it is in these logs"
	outcomes := map[string]int{}
	for _, l := range t.Lines {
		switch l.Message {
		case dutyGranted:
			cause = fmt.Sprintf("granted to %s (%s)", l.Process, l.Fields["why"])
			if l.Fields["waits"] == "true" {
				cause += ", which first waits for a lease, as " + l.Fields["before"] + " may act yet"
			}
		case dutyLost:
			end = "lost: " + lossOf(l)
		case dutyReleased:
			end = "released"
		case dutyCall:
			outcomes[l.Fields["outcome"]]++
		}
	}
	return fmt.Sprintf("%s; calls: %s; %s", cause, tallied(outcomes), end)
}

// lossOf says why the duty was lost.
func lossOf(l Line) string {
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

// tallied lists how often each outcome came.
func tallied(outcomes map[string]int) string {
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

// Write prints what is told.
func (t *Token) Write(w io.Writer) {
	fmt.Fprintf(w, "token %s\ncause: %s\n\n", t.Token, t.Cause)
	for _, l := range t.Lines {
		mark := "  "
		if l.Message != dutyCall {
			mark = "* "
		}
		fmt.Fprintf(w, "%s%12.4f %-32s %s %s\n", mark, l.Time, l.Process, l.Message, fields(l.Fields, "token"))
	}
}
