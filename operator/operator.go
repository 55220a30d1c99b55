// Package operator implements the operators' HTTP API: submission of signed
// bundles, the history of accepted bundles, and the status of the site's nodes.
package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/internal/reqlimit"
)

// Service is the RPC service name for node status.
const Service = "Operator"

// StatusArgs requests a node's status.
type StatusArgs struct{}

// NodeStatus is a node's status.
type NodeStatus struct {
	Node     walnutramp.NodeName `json:"node"`
	DataHall walnutramp.DataHall `json:"data_hall"`
	Version  uint64              `json:"version"`  // version of the bundle in force on the node
	InForce  bool                `json:"in_force"` // the node holds the lease and accepts new work
	Stopping bool                `json:"stopping"`
	Answered bool                `json:"answered"`
}

// Submission is a signed bundle as submitted by an operator.
type Submission struct {
	Doc       []byte           `json:"doc"`
	Signature bundle.Signature `json:"signature"`
}

// Answer is the result of a submission.
type Answer struct {
	Code    walnutramp.Code    `json:"code"`
	Outcome walnutramp.Outcome `json:"outcome"`
	Version uint64             `json:"version"` // the accepted version, or that of the conflicting bundle
	Winner  string             `json:"winner"`
	Digest  string             `json:"digest"`
	Message string             `json:"message"`
}

// Status is the status of the site's nodes.
type Status struct {
	Nodes []NodeStatus `json:"nodes"`
}

// Control provides access to the control group.
type Control interface {
	// Submit submits a signed bundle.
	Submit(ctx context.Context, doc []byte, s bundle.Signature) (control.Result, error)
	// History returns the accepted bundles.
	History(ctx context.Context) (control.HistoryReply, error)
}

// Handler serves the operators' HTTP API.
type Handler struct {
	control Control
	status  func(context.Context) []NodeStatus
	mux     *http.ServeMux
}

// NewHandler returns a Handler; status returns the status of all nodes.
func NewHandler(c Control, status func(context.Context) []NodeStatus) *Handler {
	h := &Handler{control: c, status: status, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /operator/bundles", h.submit)
	h.mux.HandleFunc("GET /operator/bundles", h.history)
	h.mux.HandleFunc("GET /operator/status", h.serveStatus)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

const maxSubmissionBytes = 2 * bundle.MaxSize

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	var s Submission
	body := http.MaxBytesReader(w, r.Body, maxSubmissionBytes)
	err := json.NewDecoder(body).Decode(&s)
	var refusal *reqlimit.Refusal
	if errors.As(err, &refusal) {
		writeAnswer(w, Answer{Code: walnutramp.CodeOverloaded, Outcome: walnutramp.NotRun, Message: refusal.Why})
		return
	}
	if err != nil {
		writeAnswer(w, Answer{Code: walnutramp.CodeBadJSON, Outcome: walnutramp.NotRun, Message: err.Error()})
		return
	}
	if _, err := bundle.Parse(s.Doc); err != nil {
		writeAnswer(w, Answer{Code: walnutramp.CodeBundleInvalid, Outcome: walnutramp.NotRun, Message: err.Error()})
		return
	}
	res, err := h.control.Submit(r.Context(), s.Doc, s.Signature)
	if err != nil {
		e := walnutramp.AsError(err)
		// A submission without an answer may still be accepted.
		outcome := e.Outcome
		if e.Code == walnutramp.CodeLedgerUnavailable {
			e = walnutramp.NewError(walnutramp.CodeNoLeader, walnutramp.Unknown, "the control group did not answer; submit the same bundle again")
			outcome = walnutramp.Unknown
		}
		writeAnswer(w, Answer{Code: e.Code, Outcome: outcome, Message: e.Message})
		return
	}
	writeAnswer(w, answerOf(res))
}

func answerOf(res control.Result) Answer {
	a := Answer{Code: res.Code, Outcome: walnutramp.Ran, Version: res.Version, Winner: res.Winner, Digest: res.Digest, Message: "accepted"}
	if res.Code != walnutramp.CodeOK {
		a.Outcome = walnutramp.NotRun
		a.Message = "another bundle won"
	}
	return a
}

func writeAnswer(w http.ResponseWriter, a Answer) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.Code.Info().Status)
	json.NewEncoder(w).Encode(a)
}

func (h *Handler) history(w http.ResponseWriter, r *http.Request) {
	reply, err := h.control.History(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(reply)
}

func (h *Handler) serveStatus(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(Status{Nodes: h.status(r.Context())})
}
