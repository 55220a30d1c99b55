// Package operator answers operators over HTTP: signed bundles are submitted,
// and what is in force where is shown.
package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/control"
)

// Service is the name under which nodes tell each other their status.
const Service = "Operator"

// StatusArgs asks a node for its status.
type StatusArgs struct{}

// NodeStatus is what one node says of itself.
type NodeStatus struct {
	Node     walnutramp.NodeName `json:"node"`
	DataHall walnutramp.DataHall `json:"data_hall"`
	Version  uint64              `json:"version"`  // of the bundle in force there
	InForce  bool                `json:"in_force"` // it holds the lease and takes new work
	Stopping bool                `json:"stopping"`
	Answered bool                `json:"answered"`
}

// Submission is a bundle as it is sent to a node.
type Submission struct {
	Doc       []byte           `json:"doc"`
	Signature bundle.Signature `json:"signature"`
}

// Answer tells an operator what came of a submission.
type Answer struct {
	Code    walnutramp.Code    `json:"code"`
	Outcome walnutramp.Outcome `json:"outcome"`
	Version uint64             `json:"version"` // accepted, or of the bundle that won
	Winner  string             `json:"winner"`
	Digest  string             `json:"digest"`
	Message string             `json:"message"`
}

// Status is what the site's nodes say.
type Status struct {
	Nodes []NodeStatus `json:"nodes"`
}

// Control submits bundles to the control group.
type Control interface {
	// Submit offers a signed bundle.
	Submit(ctx context.Context, doc []byte, s bundle.Signature) (control.Result, error)
	// History returns the accepted bundles.
	History(ctx context.Context) (control.HistoryReply, error)
}

// Handler answers operators.
type Handler struct {
	control Control
	status  func(context.Context) []NodeStatus
	mux     *http.ServeMux
}

// NewHandler returns a Handler; status asks the site's nodes.
func NewHandler(c Control, status func(context.Context) []NodeStatus) *Handler {
	h := &Handler{control: c, status: status, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /operator/bundles", h.submit)
	h.mux.HandleFunc("GET /operator/bundles", h.history)
	h.mux.HandleFunc("GET /operator/status", h.serveStatus)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

const maxSubmission = 2 * bundle.MaxSize

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	var s Submission
	body := http.MaxBytesReader(w, r.Body, maxSubmission)
	if err := json.NewDecoder(body).Decode(&s); err != nil {
		answer(w, Answer{Code: walnutramp.CodeBadJSON, Outcome: walnutramp.NotRun, Message: err.Error()})
		return
	}
	if _, err := bundle.Parse(s.Doc); err != nil {
		answer(w, Answer{Code: walnutramp.CodeBundleInvalid, Outcome: walnutramp.NotRun, Message: err.Error()})
		return
	}
	res, err := h.control.Submit(r.Context(), s.Doc, s.Signature)
	if err != nil {
		e := walnutramp.AsError(err)
		// A submission that got no answer may yet be accepted.
		outcome := e.Outcome
		if e.Code == walnutramp.CodeLedgerAway {
			e = walnutramp.NewError(walnutramp.CodeNoLeader, walnutramp.Unknown, "the control group did not answer; submit the same bundle again")
			outcome = walnutramp.Unknown
		}
		answer(w, Answer{Code: e.Code, Outcome: outcome, Message: e.Message})
		return
	}
	answer(w, accepted(res))
}

func accepted(res control.Result) Answer {
	a := Answer{Code: res.Code, Outcome: walnutramp.Ran, Version: res.Version, Winner: res.Winner, Digest: res.Digest, Message: "accepted"}
	if res.Code != walnutramp.CodeOK {
		a.Outcome = walnutramp.NotRun
		a.Message = "another bundle won"
	}
	return a
}

func answer(w http.ResponseWriter, a Answer) {
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
