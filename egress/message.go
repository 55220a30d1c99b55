// Package egress sends requests to targets through other nodes. A node that has lost its
// path to a service's targets, the ingress of a request, keeps the client: it authenticates
// and admits the request, keeps its deadline and what the client has of the answer, counts
// it, and decides whether it is sent again. Another node, the egress, selects the target by
// its own view and sends the request there once.
//
// Nodes talk HTTP/2 without TLS of its own, over connections that are identified as those
// between peers are. It brings streams that can be canceled, and flow control. A request is
// one POST whose body is a Request and the client's body, and whose response body is a
// sequence of frames; see frame.go.
package egress

import (
	"context"
	"net/http"
	"time"
)

// Request is a client's request that is sent through another node. Times are relative, as
// clocks of nodes differ.
type Request struct {
	ID       string `msgpack:"i"` // of the client's request
	Service  string `msgpack:"s"`
	Route    string `msgpack:"r"` // its name
	Kind     int    `msgpack:"k"` // a gateway.Kind
	Resume   bool   `msgpack:"u"` // a stream may be resumed at another target
	Version  uint64 `msgpack:"v"` // of the configuration that selected the route
	Account  string `msgpack:"a"` // name of the client account
	Priority int    `msgpack:"p"`

	Method  string      `msgpack:"m"`
	URI     string      `msgpack:"l"`
	Host    string      `msgpack:"h"`
	Header  http.Header `msgpack:"e"` // as forwarded to targets, but for what the egress sets
	HasBody bool        `msgpack:"b"`

	Elapsed      time.Duration `msgpack:"t"`  // since the request arrived
	Deadline     time.Duration `msgpack:"d"`  // time left for the answer
	Objective    time.Duration `msgpack:"o"`  // latency objective
	MaxEventGap  time.Duration `msgpack:"g"`  // see gateway.Route
	AttemptsLeft int           `msgpack:"n"`  // targets that may run it, this one included
	SendWithin   time.Duration `msgpack:"w"`  // time in which it must be sent; 0 for no limit of its own
	Retry        bool          `msgpack:"y"`  // a target has received it before
	MayHaveRun   bool          `msgpack:"mr"` // a target may have run it before

	HasLast     bool           `msgpack:"hl"` // LastID is set
	LastID      int64          `msgpack:"li"` // ID of the last event that the client has
	Resumed     bool           `msgpack:"re"` // the client sent a last event ID
	Prefill     int            `msgpack:"pf"` // prompt tokens
	Memory      int            `msgpack:"me"` // tokens of memory
	MaxOutput   int            `msgpack:"mo"` // tokens
	PromptKey   string         `msgpack:"pk"`
	Attempt     uint64         `msgpack:"at"` // see balance.StreamID; 0 if unknown
	Tried       []string       `msgpack:"tr"` // incarnations that may have run it, or rejected it just now
	Avoid       []string       `msgpack:"av"` // incarnations that have asked the ingress for a cooldown, or are draining
	FailedHalls map[string]int `msgpack:"fh"` // number of targets that failed it, by data hall
	Copy        *Copy          `msgpack:"c"`  // to resume from; nil for none

	Bound    bool          `msgpack:"vb"` // only targets of the version Software may send it
	Software string        `msgpack:"sv"`
	Idle     time.Duration `msgpack:"id"` // since the client received the last event; since the request arrived, before the first
	// EndedByIngress says that the ingress cancels a begun stream whose target is silent.
	// Without it, the egress does.
	EndedByIngress bool `msgpack:"ei"`
	// PendingByIngress says the same of a stream that has not begun and of a plain request.
	PendingByIngress bool `msgpack:"pi"`
}

// Copy is a copy of a failed run's KV cache.
type Copy struct {
	Holder string `msgpack:"h"` // incarnation of the target that holds it
	Name   string `msgpack:"n"` // at that target
}

// Sent says that a request is about to be sent to a target, which may be followed by another
// one if it does not arrive.
type Sent struct {
	Target   string `msgpack:"t"` // incarnation
	DataHall string `msgpack:"d"`
}

// Head is the head of a target's response.
type Head struct {
	Status int         `msgpack:"s"`
	Header http.Header `msgpack:"h"`
	Length int64       `msgpack:"l"` // of the body in bytes; -1 if unknown
	// Target is the incarnation of the target, DataHall where it is, Software its software
	// version.
	Target   string `msgpack:"t"`
	DataHall string `msgpack:"d"`
	Software string `msgpack:"sv"`
	Copy     *Copy  `msgpack:"c"` // that grows with the run; nil for none
}

// Result says what became of a request at the egress.
type Result int

// The results.
const (
	// Answered: a target answered, and the whole answer was passed on.
	Answered Result = iota + 1
	// NotSent: the request was sent to no target. Error says why.
	NotSent
	// Rejected: a target rejected the request without running it.
	Rejected
	// Failed: a target may have run the request, and there is no complete answer.
	Failed
)

var resultNames = map[Result]string{Answered: "answered", NotSent: "not-sent", Rejected: "rejected", Failed: "failed"}

// String returns the result as it is logged and counted.
func (r Result) String() string { return resultNames[r] }

// End is the last message of an exchange.
type End struct {
	Result   Result `msgpack:"r"`
	Target   string `msgpack:"t"` // incarnation that the request was sent to; empty for none
	DataHall string `msgpack:"d"` // of that target
	Copy     *Copy  `msgpack:"c"` // from which a failed run may resume; nil for none
	Error    *Error `msgpack:"e"` // for NotSent
	// Cooldown and Draining are what the target asks for, which the ingress honors, too.
	Cooldown time.Duration `msgpack:"o"`
	Draining bool          `msgpack:"g"`
	// OfTargets says that no target takes the request, or that its head is too large now, which
	// says nothing about the node.
	OfTargets bool `msgpack:"n"`
	// Final says that no other node or target will do better: the caller gets Error.
	Final bool `msgpack:"f"`
	// HandedBack says that the node canceled the run of a stream, as it stops or has lost its
	// path to targets, so that the target may have been at work.
	HandedBack bool `msgpack:"hb"`
}

// Error is the encoding of a walnutramp.Error.
type Error struct {
	Code       int           `msgpack:"c"`
	Message    string        `msgpack:"m"`
	RetryAfter time.Duration `msgpack:"r"`
}

// Offer is a node that says that it has a path to a service's targets.
type Offer struct {
	Node string // peer address
	Near bool   // in this node's data hall
	Load int    // requests that it is serving
	// KeepsVersions says that the node sends a bound request only to targets of its
	// software version, and returns the version of the target that answers.
	KeepsVersions bool
}

// Finder finds nodes that have a path to a service's targets.
type Finder interface {
	// FindEgress asks other nodes and returns those that have a path. It returns within a
	// fraction of a second.
	FindEgress(ctx context.Context, service string) []Offer
}

// Handler sends the requests of other nodes to targets.
type Handler interface {
	// HandleRelayed sends a request to a target once and writes the answer to w. The
	// request is canceled if ctx ends.
	HandleRelayed(ctx context.Context, r *Request, body []byte, w *ResponseWriter) End
}
