// Package targetconn is an HTTP/1.1 client for targets with a connection pool. It never
// sends a request twice, reports whether a failed request may have reached the
// target, and accepts only responses that echo the request's identity.
package targetconn

import (
	"fmt"
	"net/http"
)

// Endpoint is the network endpoint of a target. Connections are pooled by ID, so that
// another target at the same address never gets them.
type Endpoint struct {
	ID      string
	Address string // numeric host:port
}

// Request is a request with its complete body.
type Request struct {
	Method string
	URI    string // path and query as received from the client
	Host   string
	Header http.Header
	Body   []byte
	// HasBody sends Content-Length even if Body is empty.
	HasBody bool
	// Reuse sends the request only on an idle connection: without one, Do fails with
	// ErrNoConnection at StageDial.
	Reuse bool
	// Gate is called when a connection is available, just before the request is sent,
	// and again if an idle connection turns out to be closed. If it returns an error,
	// the request is not sent and Do fails with that cause. May be nil.
	Gate func() error
	// Unsent is called when nothing was sent after Gate had returned nil. May be nil.
	Unsent func()
	// Identity is the required value of the response's identity header; empty if the
	// response has none.
	Identity string
}

// Stage is the stage at which an exchange failed.
type Stage int

// The stages. Up to StageUnsent the target has not seen the request.
const (
	StageDial     Stage = iota // no connection
	StageUnsent                // connected, but no byte was sent
	StageSent                  // the request may have been received; no response
	StageGarbled               // malformed response, or one to another request
	StageAnswered              // the response broke off
)

var stageNames = map[Stage]string{
	StageDial: "dial", StageUnsent: "unsent", StageSent: "sent", StageGarbled: "garbled", StageAnswered: "answered",
}

// String returns the name of the stage.
func (s Stage) String() string { return stageNames[s] }

// Failure is the error of an exchange without a complete response.
type Failure struct {
	Stage Stage
	Err   error
}

// Error implements the error interface.
func (f *Failure) Error() string { return fmt.Sprintf("exchange failed (%s): %v", f.Stage, f.Err) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Reached reports whether the target may have received the request.
func (f *Failure) Reached() bool { return f.Stage > StageUnsent }
