package explain

import "github.com/walnutramp/walnutramp"

// A node that has lost its path to targets sends requests through other nodes. Why it does is
// logged once, when it loses the path, and not with each request.

const (
	pathLost      = "Path to targets lost"
	pathRecovered = "Path to targets recovered"
)

// throughOthers are the messages of a node that sent a request through another.
var throughOthers = map[string]bool{
	"Answered through another node": true, "Run begins through another node": true, "Answer through another node broke off": true,
	"Stream through another node broke off": true, "No answer through another node": true, "Another node did not send the request": true,
}

// lostPaths returns the lines in which the nodes that sent a request through others
// lost their paths.
func lostPaths(all, own []Line) []Line {
	type path struct{ process, service string }
	lost := map[path]Line{}
	for _, l := range all {
		if p := (path{l.Process, l.Fields["service"]}); l.Time <= own[len(own)-1].Time {
			switch l.Message {
			case pathLost:
				lost[p] = l
			case pathRecovered:
				if l.Time < own[0].Time {
					delete(lost, p)
				}
			}
		}
	}
	var found []Line
	for p, l := range lost {
		if sentThroughOthers(own, p.process) {
			found = append(found, l)
		}
	}
	return found
}

// sentThroughOthers reports whether a process sent a request through another, or would have.
func sentThroughOthers(own []Line, process string) bool {
	for _, l := range own {
		if l.Process == process && (throughOthers[l.Message] || l.code() == walnutramp.CodeNoPath) {
			return true
		}
	}
	return false
}

// egress names the node through which the request was answered; empty for none.
func (s *RequestTrace) egress() string {
	for _, l := range s.Lines {
		if l.Message == "Answered through another node" {
			return " through node " + l.Fields["egress"]
		}
	}
	return ""
}
