// Package explain correlates the logs of several nodes. For a request it returns its
// lines in chronological order, related events of its targets and nodes, and the
// probable cause of its result; likewise for fencing tokens, roll-outs and usage
// windows.
package explain

import (
	"bufio"
	"cmp"
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

// Line is a parsed log line.
type Line struct {
	Time    float64 // seconds since midnight, or the number that precedes the line
	Process string  // name that precedes the line, or of its file
	Message string
	Fields  map[string]string
	Raw     string
	order   int
}

// code returns the line's result code, or 0 if it has none.
func (l Line) code() walnutramp.Code {
	number, err := strconv.Atoi(l.Fields["code"])
	if err != nil {
		return 0
	}
	return walnutramp.Code(number)
}

// linePattern matches a klog line, optionally preceded by a time and a process name.
var linePattern = regexp.MustCompile(`^\s*(?:(-?[0-9.]+)\s+(\S+)\s+)?[IWEF]\d{4} (\d\d):(\d\d):(\d\d\.\d+)\s+\S+\s+(?:\S+:\d+\]\s+)?"((?:[^"\\]|\\.)*)"(.*)$`)

var fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\[[^\]]*\]|\S+)`)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Read parses log lines from r and skips lines of other formats. name is the process
// name of lines that don't name one.
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
	line.Time = secondsSinceMidnight(m[3], m[4], m[5])
	if m[1] != "" {
		line.Time, _ = strconv.ParseFloat(m[1], 64)
	}
	for _, f := range fieldPattern.FindAllStringSubmatch(m[7], -1) {
		line.Fields[f[1]] = strings.Trim(f[2], `"`)
	}
	return line, true
}

func secondsSinceMidnight(hours, minutes, seconds string) float64 {
	h, _ := strconv.ParseFloat(hours, 64)
	m, _ := strconv.ParseFloat(minutes, 64)
	s, _ := strconv.ParseFloat(seconds, 64)
	return (h*60+m)*60 + s
}

// RequestTrace is the history of a request.
type RequestTrace struct {
	Request string
	Lines   []Line            // of the request itself, in chronological order
	Context []Line            // related lines of its targets and processes
	Builds  map[string]string // by process, where the logs name it
	Cause   string
	Advice  string
}

// TraceRequest returns the history of a request, or false if no line names it.
func TraceRequest(lines []Line, request string) (RequestTrace, bool) {
	trace := RequestTrace{Request: request}
	trace.Lines = filterByField(lines, "request", request)
	if len(trace.Lines) == 0 {
		return trace, false
	}
	trace.Context = relatedLines(lines, trace.Lines)
	trace.Builds = processBuilds(lines, trace.Lines)
	trace.Cause, trace.Advice = determineCause(&trace)
	return trace, true
}

// processBuilds returns, by process, the builds that served a request.
func processBuilds(all, own []Line) map[string]string {
	builds := map[string]string{}
	for _, l := range own {
		builds[l.Process] = ""
	}
	started := map[string]float64{}
	for _, l := range all {
		_, wanted := builds[l.Process]
		build := l.Fields["build"]
		if !wanted || l.Message != "Process starts" || build == "" || l.Time > own[len(own)-1].Time {
			continue
		}
		if before, known := started[l.Process]; !known || l.Time > before {
			builds[l.Process], started[l.Process] = build, l.Time
		}
	}
	maps.DeleteFunc(builds, func(_, build string) bool { return build == "" })
	return builds
}

// filterByField returns the lines with the given value of a field, in chronological
// order.
func filterByField(lines []Line, field, value string) []Line {
	var found []Line
	for _, l := range lines {
		if l.Fields[field] == value {
			found = append(found, l)
		}
	}
	sortByTime(found)
	return found
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
}

// contextMargin is how long before a request's first line and after its last one
// other lines count as related, in seconds.
const contextMargin = 1.5

// processMessages are the messages about a process that affect all its requests.
var processMessages = map[string]bool{
	"Process starts": true, "Process stops": true, "Process ends": true, "Signal to stop": true,
	"Requests are cut off at the end of the grace": true, "Requests are ended at the end of the grace": true, "List of targets": true,
	"Settings reloaded": true, "Log lines dropped": true,
}

const configurationInForce = "Configuration in force"

// decidedByConfiguration reports whether a request's result depended on the
// configuration in force.
func decidedByConfiguration(last Line) bool {
	switch last.code() {
	case walnutramp.CodeUnknownPath, walnutramp.CodeBadKey, walnutramp.CodeNotInForce:
		return true
	}
	return false
}

// relatedLines returns the lines that are related to a request but don't name it.
func relatedLines(all, own []Line) []Line {
	first, last := own[0].Time-contextMargin, own[len(own)-1].Time+contextMargin
	processes, targets := map[string]bool{}, map[string]bool{}
	for _, l := range own {
		processes[l.Process] = true
		if t := l.Fields["target"]; t != "" {
			targets[t] = true
		}
	}
	byConfiguration := decidedByConfiguration(own[len(own)-1])
	found := append(nextStart(all, own[len(own)-1]), contentLines(all, own[len(own)-1])...)
	found = append(found, lostPaths(all, own)...)
	found = append(found, otherAttempts(all, own)...)
	for _, l := range all {
		if l.Time < first || l.Time > last || l.Fields["request"] == own[0].Fields["request"] {
			continue
		}
		ofProcess := processes[l.Process] && (processMessages[l.Message] || byConfiguration && l.Message == configurationInForce)
		ofRetry := l.Fields["run"] == own[0].Fields["request"]
		ofTarget := targets[l.Fields["target"]] && targetMessages[l.Message]
		if ofProcess || ofTarget || ofRetry {
			found = append(found, l)
		}
	}
	sortByTime(found)
	return found
}

// targetMessages are the messages about failures and states of a target that were
// seen with other requests.
var targetMessages = map[string]bool{
	"Target did not answer": true, "Stream broke off": true, "Target turned the request away": true,
	"Target asks for rest": true, "Target says that it leaves": true,
}

// nextStart returns the next start of a process more than contextMargin after one of its
// lines, unless the process logged an orderly exit in between.
func nextStart(all []Line, after Line) []Line {
	for _, l := range all {
		if l.Process != after.Process || l.Time <= after.Time+contextMargin {
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

// determineCause derives the cause of the request's result from its last line.
func determineCause(s *RequestTrace) (cause, advice string) {
	last := s.Lines[len(s.Lines)-1]
	if cause, advice, ok := s.softwareCause(last); ok {
		return cause, advice
	}
	switch last.Message {
	case "Stream served", "Request served":
		return servedCause(s, last)
	case "Request ended here":
		return localResponseCause(s, last)
	case "Stream given up":
		return abortedCause(s, last)
	case "Request cut off":
		return cutOffCause(s, last)
	case "Request handler panicked":
		return "the handler of the request panicked: " + last.Fields["panic"], "a fault of the node; the line has the stack"
	case "Client left":
		if s.stopping(last) {
			return abortedCause(s, last)
		}
		return fmt.Sprintf("the client closed its connection after event %s", last.Fields["last"]),
			"nothing failed here; if the client retried, the retry has another request id"
	}
	if l, ok := s.laterLine("Process stops", last); ok {
		return fmt.Sprintf("the process %s was stopped gracefully at %.3f while it served the request", l.Process, l.Time),
			"the log ends before the request does: check whether the process was killed before its grace period ended"
	}
	if l, ok := s.laterLine("Process starts", last); ok {
		return fmt.Sprintf("the process %s ended while it served the request and started again at %.3f", l.Process, l.Time),
			"look for a kill, a loss of power or a crash of that machine; the client resumes at another node"
	}
	return "the logs end before the request does: " + last.Message, "the process was killed or its machine lost power or its log; look at that machine"
}

// laterLine returns a context line with a message that l's process wrote after l.
func (s *RequestTrace) laterLine(message string, l Line) (Line, bool) {
	for _, c := range s.Context {
		if c.Message == message && c.Process == l.Process && c.Time >= l.Time {
			return c, true
		}
	}
	return Line{}, false
}

// stopping reports whether a stop of the process ended what l is about. Older builds do not
// name that reason, but were about to exit when they wrote l.
func (s *RequestTrace) stopping(l Line) bool {
	if l.Fields["why"] == "stopping" {
		return true
	}
	for _, c := range s.Context {
		if (c.Message == "Requests are cut off at the end of the grace" || c.Message == "Process ends") &&
			c.Process == l.Process && c.Time >= l.Time-0.1 && c.Time <= l.Time+0.5 {
			return true
		}
	}
	return false
}

func servedCause(s *RequestTrace, last Line) (cause, advice string) {
	switch status := last.Fields["status"]; {
	case strings.HasPrefix(status, "5"):
		return fmt.Sprintf("target %s responded with status %s; the request was sent to %s targets", last.Fields["target"], status, last.Fields["sent"]),
			"check that service; the route's maximum of attempts and the retry budget limit how often a request is sent"
	case status != "":
		return fmt.Sprintf("served with status %s by target %s%s in %s ms", status, last.Fields["target"], s.egress(), last.Fields["ms"]), ""
	}
	failures := s.count("Stream broke off") + s.count("Target did not answer") + s.count("Run moved: its target is silent to others")
	if failures == 0 {
		return fmt.Sprintf("served completely: first event after %s ms, longest pause %s ms", last.Fields["first_ms"], last.Fields["longest_pause_ms"]), ""
	}
	return fmt.Sprintf("served completely in %s runs (%s): first event after %s ms, longest pause %s ms",
			last.Fields["runs"], s.targetFailures(), last.Fields["first_ms"], last.Fields["longest_pause_ms"]),
		"check these targets; a pause longer than the route's limit means that no KV-cache copy of the run was available"
}

func (s *RequestTrace) count(message string) int {
	n := 0
	for _, l := range s.Lines {
		if l.Message == message {
			n++
		}
	}
	return n
}

// targetFailures lists the targets that failed the request, with the errors.
func (s *RequestTrace) targetFailures() string {
	var parts []string
	for _, l := range s.Lines {
		switch l.Message {
		case "Stream broke off", "Target did not answer", "Answer broke off":
			parts = append(parts, fmt.Sprintf("target %s: %s", l.Fields["target"], describeError(l.Fields["err"])))
		case "Run moved: its target is silent to others":
			parts = append(parts, fmt.Sprintf("target %s: its data hall stopped responding before the first event", l.Fields["target"]))
		case "Target asks for rest":
			parts = append(parts, fmt.Sprintf("target %s asked to back off for %s ms", l.Fields["target"], l.Fields["rest_ms"]))
		case "Request waits for a target's rate limit":
			parts = append(parts, fmt.Sprintf("target %s made it wait %s ms for its rate limit of %s per second", l.Fields["target"], l.Fields["wait_ms"], l.Fields["perSecond"]))
		case "Request rejected for a rate limit":
			parts = append(parts, fmt.Sprintf("no target had a permit in time: one publishes a limit of %s per second, known for %s ms, of which this node owns %s slots with %s permits left",
				l.Fields["perSecond"], l.Fields["limitAge_ms"], l.Fields["ownSlots"], l.Fields["permitsLeft"]))
		case "Another node did not send the request":
			parts = append(parts, fmt.Sprintf("node %s, asked to send it, did not: %s", l.Fields["egress"], cmp.Or(l.Fields["reason"], l.Fields["err"])))
		case "No answer through another node":
			parts = append(parts, fmt.Sprintf("target %s through node %s: %s", l.Fields["target"], l.Fields["egress"], l.Fields["result"]))
		case "Target turned the request away":
			parts = append(parts, fmt.Sprintf("target %s rejected it with status %s", l.Fields["target"], l.Fields["status"]))
		}
	}
	if len(parts) == 0 {
		return "no target failed it"
	}
	return strings.Join(parts, "; ")
}

// describeError translates a connection error into an explanation for operators.
func describeError(err string) string {
	switch {
	case strings.Contains(err, "refused"):
		return "connection refused (its process had ended)"
	case strings.Contains(err, "exchange failed (dial)"):
		return "no connection came about (its machine was silent, or the way there was cut)"
	case strings.Contains(err, "deadline exceeded"), strings.Contains(err, "canceled"):
		return "it did not answer in the time that was left"
	case strings.Contains(err, "i/o timeout"), strings.Contains(err, "timed out"):
		return "it stopped responding"
	case strings.Contains(err, "reset"):
		return "the connection was reset"
	case strings.Contains(err, "EOF"):
		return "it closed the connection during the response (it crashed or aborted the response)"
	case strings.Contains(err, "garbled"):
		return "its response was malformed"
	}
	return err
}

func localResponseCause(s *RequestTrace, last Line) (cause, advice string) {
	code := last.code()
	description := fmt.Sprintf("answered here with code %v (%s, outcome %s): %s", code, code.Info().Text, last.Fields["outcome"], s.targetFailures())
	switch code {
	case walnutramp.CodeStopping:
		return description, "the node was stopping; the client is told to come back, and meets another node"
	case walnutramp.CodeNotInForce:
		return description, "the node had no configuration yet; look at its start and at the control group's leader"
	case walnutramp.CodeUnknownPath, walnutramp.CodeBadKey:
		return description, "compare the configuration in force on the node at that time (version in its log) with the client's request"
	case walnutramp.CodeQuarantined, walnutramp.CodeCrashesTargets:
		return fmt.Sprintf("targets end when they run content %s: %s", last.Fields["content"], s.crashes(last.Fields["content"])),
			"look at the targets' own logs of these moments; the client is told when the request may be tried again"
	case walnutramp.CodeTargetsCooldown:
		return description, "all targets of the service had asked this node to back off: see the lines in which they did; Retry-After tells the client when the first is available again"
	case walnutramp.CodeTargetsLimited:
		return description, "all targets of the service publish rate limits, which the requests of all nodes had used up; Retry-After follows from the limit and from who waits already"
	case walnutramp.CodeNoPath:
		return description, "the node had lost its path to the targets (see when), and no other said that it had one: look at the network between that node's machine and the targets"
	case walnutramp.CodeNoTarget:
		return description, "no target of the service could be asked: look at its list of targets and at what turned the request away"
	}
	if strings.Contains(last.Fields["why"], "node is stopping") {
		return "the node's planned stop ended before a target answered: " + description, "look at how long its targets took; outcome unknown means that it may have run"
	}
	return description, "look at the targets named; outcome unknown means that it may have run and was not sent again"
}

func abortedCause(s *RequestTrace, last Line) (cause, advice string) {
	reason := last.Fields["cause"]
	switch {
	case s.stopping(last):
		return "the node's planned stop ended before the stream did, and cut it off; the client resumes at another node",
			"streams that can't end in the grace are refused; one that takes longer than predicted is cut"
	case strings.Contains(reason, "canceled"):
		return fmt.Sprintf("the client left after event %s (%s)", last.Fields["last"], s.targetFailures()), "look at the client's own patience, and at the pauses before"
	case strings.Contains(reason, "deadline"):
		return fmt.Sprintf("the client's deadline or the route's time-out passed after event %s (%s)", last.Fields["last"], s.targetFailures()),
			"if the client came again, little time may have been left"
	}
	switch last.Fields["why"] {
	case "no-attempt":
		return fmt.Sprintf("the route allowed no further attempt after event %s: %s", last.Fields["last"], s.targetFailures()),
			"raise the route's number of attempts, or look at the failures of its targets"
	case "quarantined":
		return fmt.Sprintf("the request is quarantined, since it crashed targets; it ended after event %s: %s", last.Fields["last"], s.targetFailures()),
			"look at the request's content, and at the targets that ran it"
	}
	if s.count("Not repeated: the budget is spent") > 0 {
		return fmt.Sprintf("the retry budget was exhausted after event %s: %s", last.Fields["last"], s.targetFailures()),
			"check the failures of the service's targets in the ten seconds before"
	}
	return fmt.Sprintf("no target was left to resume on after event %s: %s", last.Fields["last"], s.targetFailures()), "check the service's targets at that time"
}

// cutOffCause returns the cause of a plain request that ended without a complete answer.
func cutOffCause(s *RequestTrace, last Line) (cause, advice string) {
	switch {
	case s.stopping(last):
		return "the node's planned stop ended before the request did, and cut it off", "look at how long its targets took"
	case last.Fields["why"] == "client-left":
		return "the client closed its connection before it had the answer", "look at the client's own patience"
	case last.Fields["why"] == "broken-answer":
		return "a part of the answer was forwarded when it broke off: " + last.Fields["err"], "check the target and the client at that time"
	}
	return "the request was cut off (" + last.Fields["why"] + "): " + s.targetFailures(), ""
}

// Write prints the trace; lines of the request itself are marked with *.
func (s *RequestTrace) Write(w io.Writer) {
	fmt.Fprintf(w, "request %s\ncause:  %s\n", s.Request, s.Cause)
	if s.Advice != "" {
		fmt.Fprintf(w, "advice: %s\n", s.Advice)
	}
	for _, process := range slices.Sorted(maps.Keys(s.Builds)) {
		fmt.Fprintf(w, "build:  %s ran %s\n", process, s.Builds[process])
	}
	fmt.Fprintln(w)
	lines := append(append([]Line(nil), s.Lines...), s.Context...)
	sortByTime(lines)
	for _, l := range lines {
		mark := "  "
		if l.Fields["request"] == s.Request {
			mark = "* "
		}
		fmt.Fprintf(w, "%s%12.4f %-32s %s %s\n", mark, l.Time, l.Process, l.Message, formatFields(l.Fields, s.Request))
	}
}

func formatFields(f map[string]string, request string) string {
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
