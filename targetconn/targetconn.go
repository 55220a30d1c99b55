// Package targetconn carries single HTTP/1.1 exchanges to targets over kept
// connections. It never sends a request a second time by itself, it says
// whether a failed request may have reached the target, and it takes as an
// answer only what repeats the request's identity.
package targetconn

import (
	"fmt"
	"net/http"
)

// Endpoint is a target as it is dialled. Connections are kept by ID, so that
// another target at the same address never gets them.
type Endpoint struct {
	ID      string
	Address string // numeric host:port
}

// Request is one request with its whole body.
type Request struct {
	Method string
	URI    string // path and query as the client wrote them
	Host   string
	Header http.Header
	Body   []byte
	// HasBody asks for a Content-Length even where Body is empty.
	HasBody bool
	// Gate is asked once there is a connection, just before the first byte is sent;
	// an error ends the exchange unsent, and is its cause. Nil for no question.
	Gate func() error
	// Identity is what the answer's identity header must hold.
	Identity string
}

// Stage says how far an exchange came before it failed.
type Stage int

// The stages. Up to StageUnsent the target has not seen the request.
const (
	StageDial     Stage = iota // no connection
	StageUnsent                // a connection, but not one byte accepted for sending
	StageSent                  // the target may have the request; nothing came back
	StageGarbled               // what came back is not an answer to this request
	StageAnswered              // the answer had begun and broke off
)

var stageNames = map[Stage]string{
	StageDial: "dial", StageUnsent: "unsent", StageSent: "sent", StageGarbled: "garbled", StageAnswered: "answered",
}

// String names the stage.
func (s Stage) String() string { return stageNames[s] }

// Failure is an exchange that brought no whole answer.
type Failure struct {
	Stage Stage
	Err   error
}

// Error implements the error interface.
func (f *Failure) Error() string { return fmt.Sprintf("exchange failed (%s): %v", f.Stage, f.Err) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Reached reports whether the target may have seen the request.
func (f *Failure) Reached() bool { return f.Stage > StageUnsent }
