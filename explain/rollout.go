package explain

import (
	"fmt"
	"io"
	"slices"
)

// Messages about roll-outs.
const (
	rolloutOrdered = "Roll-out ordered"
	rolloutGoesOn  = "Roll-out goes on"
	rolloutWeighed = "Roll-out weighed"
	answerAgainst  = "Answer against a new version"
)

// Rollout is what the logs tell of the newest roll-out of a service.
type Rollout struct {
	Service string
	Lines   []Line // in order of time
	Against []Line // answers that spoke against its version
	Cause   string
}

// TellRollout tells of the newest roll-out of a service; false if no line names
// one.
func TellRollout(lines []Line, service string) (Rollout, bool) {
	r := Rollout{Service: service}
	version := ""
	own := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.Fields["service"] != service })
	inOrder(own)
	for _, l := range own {
		switch l.Message {
		case rolloutOrdered, rolloutGoesOn, rolloutWeighed:
			if l.Fields["version"] != version {
				version, r.Lines, r.Against = l.Fields["version"], nil, nil
			}
			r.Lines = append(r.Lines, l)
		case answerAgainst:
			r.Against = append(r.Against, l)
		}
	}
	r.Against = slices.DeleteFunc(r.Against, func(l Line) bool { return l.Fields["version"] != version })
	r.Cause = r.cause(version)
	return r, len(r.Lines) > 0
}

// cause says how the roll-out ended, and why.
func (r *Rollout) cause(version string) string {
	for _, l := range slices.Backward(r.Lines) {
		if l.Message != rolloutGoesOn || l.Fields["state"] == "running" {
			continue
		}
		return fmt.Sprintf("version %s is %s after %s ms: %s (likelihood %s, %s answers, %s bad ones beyond the usual; %d answers against it are logged)",
			version, l.Fields["state"], l.Fields["elapsed_ms"], l.Fields["why"], l.Fields["score"], l.Fields["answers"], l.Fields["excess"], len(r.Against))
	}
	return fmt.Sprintf("version %s is under way, as far as the logs go", version)
}

// mostAgainst bounds the answers that are printed.
const mostAgainst = 40

// Write prints what is told.
func (r *Rollout) Write(w io.Writer) {
	fmt.Fprintf(w, "service %s\ncause:  %s\n\n", r.Service, r.Cause)
	shown := slices.Concat(r.Lines, r.Against[:min(mostAgainst, len(r.Against))])
	inOrder(shown)
	for _, l := range shown {
		mark := "  "
		if l.Message == rolloutGoesOn || l.Message == rolloutOrdered {
			mark = "* "
		}
		fmt.Fprintf(w, "%s%12.4f %-32s %s %s\n", mark, l.Time, l.Process, l.Message, fields(l.Fields, ""))
	}
	if left := len(r.Against) - mostAgainst; left > 0 {
		fmt.Fprintf(w, "  and %d more answers against it\n", left)
	}
}
