package explain

import (
	"fmt"
	"io"
	"slices"
)

// Log messages about roll-outs.
const (
	rolloutOrdered   = "Roll-out ordered"
	rolloutProgress  = "Roll-out goes on"
	rolloutEvaluated = "Roll-out weighed"
	answerFailed     = "Answer against a new version"
)

// RolloutTrace is the history of the latest roll-out of a service.
type RolloutTrace struct {
	Service  string
	Lines    []Line // in chronological order
	Failures []Line // responses counted against its version
	Cause    string
}

// TraceRollout returns the history of the latest roll-out of a service, or false if
// no line names one.
func TraceRollout(lines []Line, service string) (RolloutTrace, bool) {
	r := RolloutTrace{Service: service}
	version := ""
	ofService := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.Fields["service"] != service })
	sortByTime(ofService)
	for _, l := range ofService {
		switch l.Message {
		case rolloutOrdered, rolloutProgress, rolloutEvaluated:
			if l.Fields["version"] != version {
				version, r.Lines, r.Failures = l.Fields["version"], nil, nil
			}
			r.Lines = append(r.Lines, l)
		case answerFailed:
			r.Failures = append(r.Failures, l)
		}
	}
	r.Failures = slices.DeleteFunc(r.Failures, func(l Line) bool { return l.Fields["version"] != version })
	r.Cause = r.cause(version)
	return r, len(r.Lines) > 0
}

// cause describes the result of the roll-out and the evidence for it.
func (r *RolloutTrace) cause(version string) string {
	for _, l := range slices.Backward(r.Lines) {
		if l.Message != rolloutProgress || l.Fields["state"] == "running" {
			continue
		}
		return fmt.Sprintf("version %s is %s after %s ms: %s (likelihood %s, %s answers, %s more failures than expected; %d answers against it are logged)",
			version, l.Fields["state"], l.Fields["elapsed_ms"], l.Fields["why"], l.Fields["score"], l.Fields["answers"], l.Fields["excess"], len(r.Failures))
	}
	return fmt.Sprintf("version %s is in progress according to these logs", version)
}

// maxFailures is the maximum number of failures that are printed.
const maxFailures = 40

// Write prints the trace.
func (r *RolloutTrace) Write(w io.Writer) {
	fmt.Fprintf(w, "service %s\ncause:  %s\n\n", r.Service, r.Cause)
	shown := slices.Concat(r.Lines, r.Failures[:min(maxFailures, len(r.Failures))])
	sortByTime(shown)
	for _, l := range shown {
		mark := "  "
		if l.Message == rolloutProgress || l.Message == rolloutOrdered {
			mark = "* "
		}
		fmt.Fprintf(w, "%s%12.4f %-32s %s %s\n", mark, l.Time, l.Process, l.Message, formatFields(l.Fields, ""))
	}
	if left := len(r.Failures) - maxFailures; left > 0 {
		fmt.Fprintf(w, "  and %d more answers against the version\n", left)
	}
}
