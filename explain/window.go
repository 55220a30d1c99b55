package explain

import (
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Log messages about usage windows.
const (
	windowClosed    = "Window closed"
	windowReported  = "Window told"
	windowAbandoned = "Window given up"
	clockAgreement  = "Members' times of day"
)

// doneOutcome is the outcome of a successful platform call.
const doneOutcome = "done"

// WindowTrace is the history of a usage window.
type WindowTrace struct {
	Window  string
	Lines   []Line // in chronological order
	Context []Line // related lines of the group clock and its members
	Cause   string
}

// TraceWindow returns how a usage window was closed and reported to the platform; false
// if no line names the window.
func TraceWindow(lines []Line, window string) (WindowTrace, bool) {
	w := WindowTrace{Window: window}
	w.Lines = filterByField(lines, "window", window)
	if len(w.Lines) == 0 {
		return w, false
	}
	w.Context = w.context(lines)
	w.Cause = w.cause()
	return w, true
}

// context returns the lines about the group clock, and about starts and stops of the
// processes that handled the window, within contextMargin of its lines.
func (w *WindowTrace) context(all []Line) []Line {
	first, last := w.Lines[0].Time-contextMargin, w.Lines[len(w.Lines)-1].Time+contextMargin
	own := map[string]bool{}
	for _, l := range w.Lines {
		own[l.Process] = true
	}
	var context []Line
	for _, l := range all {
		if l.Time < first || l.Time > last {
			continue
		}
		if l.Message == clockAgreement || own[l.Process] && processMessages[l.Message] {
			context = append(context, l)
		}
	}
	sortByTime(context)
	return context
}

// cause describes when the window was closed and reported, and the failed calls.
func (w *WindowTrace) cause() string {
	var parts []string
	failed := 0
	reported := false
	for _, l := range w.Lines {
		switch l.Message {
		case windowClosed:
			parts = append(parts, describeClosing(l))
		case windowAbandoned:
			parts = append(parts, "given up: "+l.Fields["why"])
		case windowReported:
			if l.Fields["outcome"] != doneOutcome {
				failed++
				continue
			}
			if !reported {
				parts = append(parts, fmt.Sprintf("reported by %s with token %s after %d failed calls", l.Process, l.Fields["token"], failed))
			}
			reported = true
		}
	}
	if !reported {
		parts = append(parts, fmt.Sprintf("not reported according to these logs, after %d failed calls", failed))
	}
	return strings.Join(parts, "; ")
}

// describeClosing describes how a window was closed.
func describeClosing(l Line) string {
	text := fmt.Sprintf("closed by %s %s ms after its end with %s requests of %s accounts from %s nodes",
		l.Process, l.Fields["late_ms"], l.Fields["requests"], l.Fields["accounts"], l.Fields["nodes"])
	if silent, _ := strconv.Atoi(l.Fields["silent"]); silent > 0 {
		text += fmt.Sprintf(", without the final reports of %d nodes", silent)
	}
	return text
}

// Write prints the trace.
func (w *WindowTrace) Write(out io.Writer) {
	fmt.Fprintf(out, "window %s\ncause:  %s\n\n", w.Window, w.Cause)
	shown := append(append([]Line{}, w.Lines...), w.Context...)
	sortByTime(shown)
	for _, l := range shown {
		mark := "  "
		if l.Fields["window"] == w.Window {
			mark = "* "
		}
		fmt.Fprintf(out, "%s%12.4f %-32s %s %s\n", mark, l.Time, l.Process, l.Message, formatFields(l.Fields, ""))
	}
}
