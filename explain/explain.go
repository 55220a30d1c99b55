// Package explain reads nodes' logs and tells the story of one request over
// all of them: its lines in order of time, what happened to its targets and
// nodes meanwhile, and the cause of how it ended.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/walnutramp/walnutramp"
)

// Line is one log line of a process.
type Line struct {
	Time    float64 // seconds since midnight, or of the clock in front of the line
	Process string  // who wrote it, as far as the file says
	Message string
	Fields  map[string]string
	Raw     string
	order   int
}

// code returns the result code that a line tells of, 0 for none.
func (l Line) code() walnutramp.Code {
	number, err := strconv.Atoi(l.Fields["code"])
	if err != nil {
		return 0
	}
	return walnutramp.Code(number)
}

// A klog line, with or without a clock and a process name in front of it.
var linePattern = regexp.MustCompile(`^\s*(?:(-?[0-9.]+)\s+(\S+)\s+)?[IWEF]\d{4} (\d\d):(\d\d):(\d\d\.\d+)\s+\S+\s+(?:\S+:\d+\]\s+)?"((?:[^"\\]|\\.)*)"(.*)$`)

var fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\[[^\]]*\]|\S+)`)

// maxLine bounds a log line, in bytes; a longer one is passed over.
const maxLine = 1 << 20

// Read returns the log lines of a reader; name stands for the process where a
// line does not name it.
func Read(r io.Reader, name string) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parse(scanner.Text(), name); ok {
			line.order = len(lines)
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parse(text, name string) (Line, bool) {
	m := linePattern.FindStringSubmatch(text)
	if m == nil {
		return Line{}, false
	}
	line := Line{Process: name, Message: m[6], Fields: map[string]string{}, Raw: strings.TrimSpace(text)}
	if m[2] != "" {
		line.Process = m[2]
	}
	line.Time = clock(m[3], m[4], m[5])
	if m[1] != "" {
		line.Time, _ = strconv.ParseFloat(m[1], 64)
	}
	for _, f := range fieldPattern.FindAllStringSubmatch(m[7], -1) {
		line.Fields[f[1]] = strings.Trim(f[2], `"`)
	}
	return line, true
}

func clock(hours, minutes, seconds string) float64 {
	h, _ := strconv.ParseFloat(hours, 64)
	m, _ := strconv.ParseFloat(minutes, 64)
	s, _ := strconv.ParseFloat(seconds, 64)
	return (h*60+m)*60 + s
}

// Story is what the logs tell of one request.
type Story struct {
	Request string
	Lines   []Line            // of the request itself, in order of time
	Context []Line            // of its targets and processes meanwhile
	Builds  map[string]string // of the processes that it came to, as far as they are told
	Cause   string
	Advice  string
}

// Tell tells the story of a request; false if no line names it.
func Tell(lines []Line, request string) (Story, bool) {
	story := Story{Request: request}
	story.Lines = linesOf(lines, "request", request)
	if len(story.Lines) == 0 {
		return story, false
	}
	story.Context = context(lines, story.Lines)
	story.Builds = buildsOf(lines, story.Lines)
	story.Cause, story.Advice = cause(&story)
	return story, true
}

// buildsOf returns which builds the processes of a request's lines ran then.
func buildsOf(all, own []Line) map[string]string {
	builds := map[string]string{}
	for _, l := range own {
		builds[l.Process] = ""
	}
	started := map[string]float64{}
	for _, l := range all {
		_, asked := builds[l.Process]
		build := l.Fields["build"]
		if !asked || l.Message != "Process starts" || build == "" || l.Time > own[len(own)-1].Time {
			continue
		}
		if before, known := started[l.Process]; !known || l.Time > before {
			builds[l.Process], started[l.Process] = build, l.Time
		}
	}
	maps.DeleteFunc(builds, func(_, build string) bool { return build == "" })
	return builds
}

// linesOf returns the lines whose field has a value, in order of time.
func linesOf(lines []Line, field, value string) []Line {
	var found []Line
	for _, l := range lines {
		if l.Fields[field] == value {
			found = append(found, l)
		}
	}
	inOrder(found)
	return found
}

func inOrder(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
}

// contextAround is how long before a request's first line and after its last
// other lines still matter, in seconds.
const contextAround = 1.5

// processMessages change what a process is, and so matter to all it serves.
var processMessages = map[string]bool{
	"Process starts": true, "Process stops": true, "Process ends": true, "Signal to stop": true,
	"Requests are cut off at the end of the grace": true, "List of targets": true,
	"Settings reloaded": true, "Log lines dropped": true,
}

const configured = "Configuration in force"

// decidedByConfiguration reports whether a request ended as it did because of
// the configuration in force.
func decidedByConfiguration(last Line) bool {
	switch last.code() {
	case walnutramp.CodeUnknownPath, walnutramp.CodeBadKey, walnutramp.CodeNotInForce:
		return true
	}
	return false
}

// context returns the lines that bear on a request without naming it.
func context(all, own []Line) []Line {
	first, last := own[0].Time-contextAround, own[len(own)-1].Time+contextAround
	processes, targets := map[string]bool{}, map[string]bool{}
	for _, l := range own {
		processes[l.Process] = true
		if t := l.Fields["target"]; t != "" {
			targets[t] = true
		}
	}
	byConfiguration := decidedByConfiguration(own[len(own)-1])
	found := append(restarts(all, own[len(own)-1]), ofContent(all, own[len(own)-1])...)
	for _, l := range all {
		if l.Time < first || l.Time > last || l.Fields["request"] == own[0].Fields["request"] {
			continue
		}
		ofProcess := processes[l.Process] && (processMessages[l.Message] || byConfiguration && l.Message == configured)
		again := l.Fields["run"] == own[0].Fields["request"]
		ofTarget := targets[l.Fields["target"]] && targetMessages[l.Message]
		if ofProcess || ofTarget || again {
			found = append(found, l)
		}
	}
	inOrder(found)
	return found
}

// targetMessages are those that tell what befell a target, or what it said of itself,
// under other requests.
var targetMessages = map[string]bool{
	"Target did not answer": true, "Stream broke off": true, "Target turned the request away": true,
	"Target asks for rest": true, "Target says that it leaves": true,
}

// restarts returns the first start of a process behind a line of it, however
// late, unless the process said before that it ends.
func restarts(all []Line, after Line) []Line {
	for _, l := range all {
		if l.Process != after.Process || l.Time <= after.Time+contextAround {
			continue
		}
		switch l.Message {
		case "Process starts":
			return []Line{l}
		case "Process ends":
			return nil
		}
	}
	return nil
}

// cause names why the request ended as it did.
func cause(s *Story) (cause, advice string) {
	last := s.Lines[len(s.Lines)-1]
	switch last.Message {
	case "Stream served", "Request served":
		return servedCause(s, last)
	case "Request ended here":
		return ownAnswerCause(s, last)
	case "Stream given up":
		return givenUpCause(s, last)
	case "Client left":
		if s.stopping(last) {
			return givenUpCause(s, last)
		}
		return fmt.Sprintf("the client closed its connection after event %s", last.Fields["last"]),
			"nothing failed here; if it came again, its next attempt has another id"
	}
	if l, ok := s.later("Process stops", last); ok {
		return fmt.Sprintf("the process %s was stopped as planned at %.3f while it served the request", l.Process, l.Time),
			"the log ends before the request does: look whether it was killed before its grace was over"
	}
	if l, ok := s.later("Process starts", last); ok {
		return fmt.Sprintf("the process %s ended while it served the request and started again at %.3f", l.Process, l.Time),
			"look for a kill, a loss of power or a crash of that machine; the client resumes at another node"
	}
	return "the logs end before the request does: " + last.Message, "the process was killed or its machine lost power or its log; look at that machine"
}

// later returns a context line of the process that wrote l, behind it.
func (s *Story) later(message string, l Line) (Line, bool) {
	for _, c := range s.Context {
		if c.Message == message && c.Process == l.Process && c.Time >= l.Time {
			return c, true
		}
	}
	return Line{}, false
}

// stopping reports whether the process was stopping when it wrote l.
func (s *Story) stopping(l Line) bool {
	for _, c := range s.Context {
		if (c.Message == "Requests are cut off at the end of the grace" || c.Message == "Process ends") &&
			c.Process == l.Process && c.Time >= l.Time-0.1 && c.Time <= l.Time+0.5 {
			return true
		}
	}
	return false
}

func servedCause(s *Story, last Line) (cause, advice string) {
	switch status := last.Fields["status"]; {
	case strings.HasPrefix(status, "5"):
		return fmt.Sprintf("target %s itself answered %s, after %s targets had begun it", last.Fields["target"], status, last.Fields["sent"]),
			"look at that service; the route's most attempts and the budget for repeats bound how often it is tried"
	case status != "":
		return fmt.Sprintf("served with status %s by target %s in %s ms", status, last.Fields["target"], last.Fields["ms"]), ""
	}
	broken := s.count("Stream broke off") + s.count("Target did not answer") + s.count("Run moved: its target is silent to others")
	if broken == 0 {
		return fmt.Sprintf("served whole: first event after %s ms, longest pause %s ms", last.Fields["first_ms"], last.Fields["longest_pause_ms"]), ""
	}
	return fmt.Sprintf("served whole over %s runs, since %s: first event after %s ms, longest pause %s ms",
			last.Fields["runs"], s.breaks(), last.Fields["first_ms"], last.Fields["longest_pause_ms"]),
		"look at the targets named; a pause above the route's means that no copy of the run was at hand"
}

func (s *Story) count(message string) int {
	n := 0
	for _, l := range s.Lines {
		if l.Message == message {
			n++
		}
	}
	return n
}

// breaks says which targets failed the request, and how.
func (s *Story) breaks() string {
	var parts []string
	for _, l := range s.Lines {
		switch l.Message {
		case "Stream broke off", "Target did not answer", "Answer broke off":
			parts = append(parts, fmt.Sprintf("target %s: %s", l.Fields["target"], plain(l.Fields["err"])))
		case "Run moved: its target is silent to others":
			parts = append(parts, fmt.Sprintf("target %s: its data hall fell silent before the first event", l.Fields["target"]))
		case "Target asks for rest":
			parts = append(parts, fmt.Sprintf("target %s asked for %s ms of rest", l.Fields["target"], l.Fields["rest_ms"]))
		case "Target turned the request away":
			parts = append(parts, fmt.Sprintf("target %s turned it away with %s", l.Fields["target"], l.Fields["status"]))
		}
	}
	if len(parts) == 0 {
		return "no target failed it"
	}
	return strings.Join(parts, "; ")
}

// plain puts an error of the connection layer into words.
func plain(err string) string {
	switch {
	case strings.Contains(err, "refused"):
		return "nobody answered at its address (it had ended)"
	case strings.Contains(err, "exchange failed (dial)"):
		return "no connection came about (its machine was silent, or the way there was cut)"
	case strings.Contains(err, "deadline exceeded"), strings.Contains(err, "canceled"):
		return "it did not answer in the time that was left"
	case strings.Contains(err, "i/o timeout"), strings.Contains(err, "timed out"):
		return "it fell silent"
	case strings.Contains(err, "reset"):
		return "the connection was reset"
	case strings.Contains(err, "EOF"):
		return "it closed the connection in the middle (it crashed, or broke the answer off)"
	case strings.Contains(err, "garbled"):
		return "it sent bytes that form no answer to this request"
	}
	return err
}

func ownAnswerCause(s *Story, last Line) (cause, advice string) {
	code := last.code()
	what := fmt.Sprintf("answered here with code %v (%s, outcome %s): %s", code, code.Info().Text, last.Fields["outcome"], s.breaks())
	switch code {
	case walnutramp.CodeStopping:
		return what, "the node was stopping; the client is told to come back, and meets another node"
	case walnutramp.CodeNotInForce:
		return what, "the node had no configuration yet; look at its start and at the control group's leader"
	case walnutramp.CodeUnknownPath, walnutramp.CodeBadKey:
		return what, "compare the configuration in force on the node at that time (version in its log) with the client's request"
	case walnutramp.CodeHeldBack, walnutramp.CodeEndsTargets:
		return fmt.Sprintf("targets end when they run content %s: %s", last.Fields["content"], s.endsOf(last.Fields["content"])),
			"look at the targets' own logs of these moments; the client is told when the request may be tried again"
	case walnutramp.CodeTargetsRest:
		return what, "all targets of the service had asked this node for rest: look at the lines in which they did; the client is told when the first has rested"
	case walnutramp.CodeNoTarget:
		return what, "no target of the service could be asked: look at its list of targets and at what turned the request away"
	}
	return what, "look at the targets named; outcome unknown means that it may have run and was not sent again"
}

func givenUpCause(s *Story, last Line) (cause, advice string) {
	why := last.Fields["cause"]
	switch {
	case s.stopping(last):
		return "the node's planned stop ended before the stream did, and cut it off; the client resumes at another node",
			"streams that can't end in the grace are refused; one that takes longer than predicted is cut"
	case strings.Contains(why, "canceled"):
		return fmt.Sprintf("the client left after event %s (%s)", last.Fields["last"], s.breaks()), "look at the client's own patience, and at the pauses before"
	case strings.Contains(why, "deadline"):
		return fmt.Sprintf("the client's deadline or the route's time-out passed after event %s (%s)", last.Fields["last"], s.breaks()),
			"if the client came again, little time may have been left"
	}
	if s.count("Not repeated: the budget is spent") > 0 {
		return fmt.Sprintf("the budget for repeats was spent after event %s: %s", last.Fields["last"], s.breaks()),
			"look at how much the service's targets failed in the ten seconds before"
	}
	return fmt.Sprintf("no target was left to go on at after event %s: %s", last.Fields["last"], s.breaks()), "look at the service's targets at that time"
}

// Write prints a story.
func (s *Story) Write(w io.Writer) {
	fmt.Fprintf(w, "request %s\ncause:  %s\n", s.Request, s.Cause)
	if s.Advice != "" {
		fmt.Fprintf(w, "advice: %s\n", s.Advice)
	}
	for _, process := range slices.Sorted(maps.Keys(s.Builds)) {
		fmt.Fprintf(w, "build:  %s ran %s\n", process, s.Builds[process])
	}
	fmt.Fprintln(w)
	lines := append(append([]Line(nil), s.Lines...), s.Context...)
	inOrder(lines)
	for _, l := range lines {
		mark := "  "
		if l.Fields["request"] == s.Request {
			mark = "* "
		}
		fmt.Fprintf(w, "%s%12.4f %-32s %s %s\n", mark, l.Time, l.Process, l.Message, fields(l.Fields, s.Request))
	}
}

func fields(f map[string]string, request string) string {
	names := make([]string, 0, len(f))
	for name, value := range f {
		if value != request {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	for _, n := range names {
		fmt.Fprintf(&b, "%s=%s ", n, f[n])
	}
	return strings.TrimSpace(b.String())
}
