package explain

import (
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Messages about windows of usage.
const (
	windowClosed = "Window closed"
	windowTold   = "Window told"
	windowLost   = "Window given up"
	timesOfDay   = "Members' times of day"
)

// doneOutcome is the outcome of a call that the platform has carried out.
const doneOutcome = "done"

// Window is what the logs tell of one window of usage.
type Window struct {
	Window  string
	Lines   []Line // in order of time
	Context []Line // of the group's time and its leaders meanwhile
	Cause   string
}

// TellWindow tells how a window of usage was closed and brought to the
// platform; false if no line names it.
func TellWindow(lines []Line, window string) (Window, bool) {
	w := Window{Window: window}
	w.Lines = linesOf(lines, "window", window)
	if len(w.Lines) == 0 {
		return w, false
	}
	w.Context = w.context(lines)
	w.Cause = w.cause()
	return w, true
}

// context returns the lines about the group's time, and of what the processes
// that name the window are, from a little before it was closed.
func (w *Window) context(all []Line) []Line {
	first, last := w.Lines[0].Time-contextAround, w.Lines[len(w.Lines)-1].Time+contextAround
	own := map[string]bool{}
	for _, l := range w.Lines {
		own[l.Process] = true
	}
	var context []Line
	for _, l := range all {
		if l.Time < first || l.Time > last {
			continue
		}
		if l.Message == timesOfDay || own[l.Process] && processMessages[l.Message] {
			context = append(context, l)
		}
	}
	inOrder(context)
	return context
}

// cause says when the window was closed and told, and what held it up.
func (w *Window) cause() string {
	var parts []string
	failed := 0
	told := false
	for _, l := range w.Lines {
		switch l.Message {
		case windowClosed:
			parts = append(parts, closing(l))
		case windowLost:
			parts = append(parts, "given up: "+l.Fields["why"])
		case windowTold:
			if l.Fields["outcome"] != doneOutcome {
				failed++
				continue
			}
			if !told {
				parts = append(parts, fmt.Sprintf("told by %s with token %s after %d calls in vain", l.Process, l.Fields["token"], failed))
			}
			told = true
		}
	}
	if !told {
		parts = append(parts, fmt.Sprintf("not told, as far as the logs go, after %d calls in vain", failed))
	}
	return strings.Join(parts, "; ")
}

// closing says how a window was closed.
func closing(l Line) string {
	text := fmt.Sprintf("closed by %s %s ms after its end with %s requests of %s accounts from %s nodes",
		l.Process, l.Fields["late_ms"], l.Fields["requests"], l.Fields["accounts"], l.Fields["nodes"])
	if silent, _ := strconv.Atoi(l.Fields["silent"]); silent > 0 {
		text += fmt.Sprintf(", without the last words of %d", silent)
	}
	return text
}

// Write prints what is told.
func (w *Window) Write(out io.Writer) {
	fmt.Fprintf(out, "window %s\ncause:  %s\n\n", w.Window, w.Cause)
	shown := append(append([]Line{}, w.Lines...), w.Context...)
	inOrder(shown)
	for _, l := range shown {
		mark := "  "
		if l.Fields["window"] == w.Window {
			mark = "* "
		}
		fmt.Fprintf(out, "%s%12.4f %-32s %s %s\n", mark, l.Time, l.Process, l.Message, fields(l.Fields, ""))
	}
}
