package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/route"
	"github.com/walnutramp/walnutramp/target"
	"k8s.io/klog/v2"
)

// Claim identifies a request that must not run twice.
type Claim struct {
	Account walnutramp.ClientAccount
	Key     string
	Digest  string // of service name, method, path and body
}

// ClaimState is the ledger's state of a claim. Token identifies a claim that is Granted,
// for Settle. Digest and Outcome are those of the recorded claim; Outcome is final once
// Settled is set.
type ClaimState struct {
	Granted bool // the claim is new, and its owner may send the request once
	Token   uint64
	Outcome walnutramp.Outcome // of an earlier claim; Unknown while it runs
	Settled bool
	Digest  string
	Answer  target.Answer // recorded if Outcome is Ran
}

// Ledger records claims on requests that must not run twice, and their outcomes.
type Ledger interface {
	// Claim records a claim durably, or returns an earlier one with the same key. After
	// an error, the claim may or may not be recorded.
	Claim(ctx context.Context, c Claim) (ClaimState, error)
	// Settle records the outcome of the caller's own claim. After an error, the outcome
	// may be missing, and the claim then stays unsettled.
	Settle(ctx context.Context, c Claim, token uint64, outcome walnutramp.Outcome, a target.Answer) error
}

// maxAttempts bounds how often an idempotent call is sent.
const maxAttempts = 3

func (h *Handler) serveService(w http.ResponseWriter, r *http.Request, account bundle.Account) {
	svc, ok := h.cfg.Bundle().Service(r.PathValue("service"))
	if !ok {
		h.writeError(w, walnutramp.NewError(walnutramp.CodeUnknownPath, walnutramp.NotRun, "no service %q is in the bundle in force", r.PathValue("service")))
		return
	}
	body, refusal := h.readBody(w, r)
	if refusal != nil {
		h.writeError(w, refusal)
		return
	}
	call := target.Call{Method: r.Method, Path: "/" + r.PathValue("path"), Header: forwardedHeader(r.Header), Body: body}
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	s := &serviceCall{h: h, account: account, service: svc, call: call, key: r.Header.Get(headerKey),
		fingerprint: fingerprintOf(body, account, svc.Name, call.Method, call.Path)}
	if held := h.cfg.Quarantine.CheckNew(s.fingerprint); held != nil {
		h.writeError(w, held)
		return
	}
	var a target.Answer
	var err error
	if svc.Repeatable(r.Method, "/"+r.PathValue("path")) {
		a, err = s.sendRepeatable(r.Context())
	} else {
		a, err = s.sendOnce(r.Context())
	}
	if err != nil {
		h.writeError(w, walnutramp.AsError(err))
		return
	}
	h.cfg.Observe.Answered(walnutramp.CodeOK)
	writeAnswer(w, a)
}

// forwardedHeaders are forwarded from the caller to the service.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", headerKey}

func forwardedHeader(from http.Header) http.Header {
	header := http.Header{}
	for _, name := range forwardedHeaders {
		if v := from.Values(name); len(v) > 0 {
			header[http.CanonicalHeaderKey(name)] = v
		}
	}
	return header
}

func writeAnswer(w http.ResponseWriter, a target.Answer) {
	if ct := a.Header.Get("Content-Type"); ct != "" {
		w.Header().Set("Content-Type", ct)
	}
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}

// serviceCall is a caller's call of a plain service.
type serviceCall struct {
	h           *Handler
	account     bundle.Account
	service     bundle.Service
	call        target.Call
	key         string
	fingerprint quarantine.Fingerprint
	crashProbe  *quarantine.Probe // checks whether the target whose connection broke last has crashed
}

func (s *serviceCall) pick(ctx context.Context, avoid []walnutramp.TargetName) (*route.Grant, error) {
	if s.h.cfg.Stopping() {
		return nil, walnutramp.NewError(walnutramp.CodeStopping, walnutramp.NotRun, "this node is stopping").WithRetryAfter(time.Second)
	}
	return s.h.cfg.Router.Pick(ctx, route.Request{
		Account: s.account.Name, Priority: s.account.Priority, Weight: s.account.Weight,
		Model: bundle.ServiceModel(s.service.Name), Avoid: avoid,
	})
}

// sendRepeatable sends an idempotent call until a target answers, at most maxAttempts times
// and as far as the retry budget allows.
func (s *serviceCall) sendRepeatable(ctx context.Context) (target.Answer, error) {
	var avoid []walnutramp.TargetName
	var last error
	for i := range maxAttempts {
		if i > 0 {
			if stop := s.h.cfg.Quarantine.CheckRetry(s.crashProbe, s.fingerprint); stop != nil {
				return target.Answer{}, stop
			}
			if !s.h.cfg.Router.SpendRetry() {
				break
			}
		}
		grant, err := s.pick(ctx, avoid)
		if err != nil {
			return target.Answer{}, unknownIfSent(last, err)
		}
		a, err := s.send(ctx, grant, false)
		if err == nil {
			return a, nil
		}
		last = err
		avoid = append(avoid, grant.Target.Name)
	}
	return target.Answer{}, walnutramp.NewError(walnutramp.CodeTargetFailed, walnutramp.Unknown,
		"no target of service %s answered: %v", s.service.Name, last).WithRetryAfter(time.Second)
}

// unknownIfSent returns err, with its outcome set to Unknown if a call was sent before.
func unknownIfSent(sent, err error) error {
	if sent == nil {
		return err
	}
	e := *walnutramp.AsError(err)
	e.Outcome = walnutramp.Unknown
	return &e
}

func (s *serviceCall) send(ctx context.Context, grant *route.Grant, once bool) (target.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.h.cfg.ServiceTimeout)
	defer cancel()
	sent := uptime.Now()
	a, err := s.h.cfg.Services.Service(grant.Target, once).Do(ctx, s.call)
	if err != nil {
		if ctx.Err() == nil && !notSent(err) {
			s.recordConnectionLoss(grant, sent)
		}
		grant.Done(route.NoAnswer(err))
		return a, err
	}
	grant.Done(route.Finished)
	s.h.cfg.Quarantine.RecordSuccess(s.fingerprint)
	return a, nil
}

// sendOnce executes a non-idempotent call: it records a claim, sends the call at most once,
// and records the outcome. With SendBeforeClaim, a test option, it records no claim.
func (s *serviceCall) sendOnce(ctx context.Context) (target.Answer, error) {
	if s.key == "" {
		return target.Answer{}, walnutramp.NewError(walnutramp.CodeKeyMissing, walnutramp.NotRun, "this call may not be repeated and has no %s", headerKey)
	}
	if len(s.key) > maxKeyBytes {
		return target.Answer{}, walnutramp.NewError(walnutramp.CodeBadRequest, walnutramp.NotRun, "%s is longer than %d bytes", headerKey, maxKeyBytes)
	}
	if s.h.cfg.Ledger == nil {
		return target.Answer{}, walnutramp.NewError(walnutramp.CodeLedgerUnavailable, walnutramp.NotRun, "this node has no ledger")
	}
	claim := Claim{Account: s.account.Name, Key: s.key, Digest: s.digest()}
	if s.h.cfg.SendBeforeClaim {
		return s.sendClaimed(ctx, claim, 0)
	}
	held, err := s.claim(ctx, claim)
	if err != nil {
		return target.Answer{}, err
	}
	if !held.Granted {
		return answerDuplicate(claim, held)
	}
	return s.sendClaimed(ctx, claim, held.Token)
}

// Limits of waiting for the outcome of an earlier claim.
const (
	duplicateTimeout      = 5 * time.Second
	duplicatePollInterval = 200 * time.Millisecond
)

// claim records a claim in the ledger, or returns the earlier one with the same key. If
// that is for the same call and has no outcome yet, it polls the ledger until there is one
// or duplicateTimeout has passed.
func (s *serviceCall) claim(ctx context.Context, c Claim) (ClaimState, error) {
	began := time.Now()
	for {
		held, err := s.h.cfg.Ledger.Claim(ctx, c)
		open := err == nil && !held.Granted && !held.Settled && held.Digest == c.Digest
		if !open || time.Since(began) > duplicateTimeout || !pause.For(ctx, duplicatePollInterval) {
			return held, err
		}
	}
}

func (s *serviceCall) digest() string {
	return bundle.Digest([]byte(s.service.Name + "\n" + s.call.Method + "\n" + s.call.Path + "\n" + string(s.call.Body)))
}

// answerDuplicate returns the answer to a request whose key was claimed before.
func answerDuplicate(c Claim, held ClaimState) (target.Answer, error) {
	if held.Digest != c.Digest {
		return target.Answer{}, walnutramp.NewError(walnutramp.CodeKeyReused, walnutramp.NotRun, "the key was used with another request")
	}
	if !held.Settled {
		return target.Answer{}, walnutramp.NewError(walnutramp.CodeStillRunning, walnutramp.Unknown,
			"the request was sent and has no known outcome yet").WithRetryAfter(time.Second)
	}
	switch held.Outcome {
	case walnutramp.Ran:
		return held.Answer, nil
	case walnutramp.NotRun:
		return target.Answer{}, walnutramp.NewError(walnutramp.CodeTargetFailed, walnutramp.NotRun, "the request with this key was not sent; use a new key")
	}
	return target.Answer{}, walnutramp.NewError(walnutramp.CodeOutcomeUnknown, walnutramp.Unknown, "the request was sent and its outcome is not known")
}

// settleTimeout bounds the recording of an outcome, which goes on after the caller has
// disconnected.
const settleTimeout = 5 * time.Second

func (s *serviceCall) sendClaimed(ctx context.Context, claim Claim, token uint64) (target.Answer, error) {
	grant, err := s.pick(ctx, nil)
	if err != nil {
		s.settle(claim, token, walnutramp.NotRun, target.Answer{})
		return target.Answer{}, err
	}
	// Not canceled with the caller's request: the outcome must be recorded.
	a, err := s.send(context.WithoutCancel(ctx), grant, true)
	if err == nil {
		s.settle(claim, token, walnutramp.Ran, a)
		return a, nil
	}
	if notSent(err) {
		s.settle(claim, token, walnutramp.NotRun, target.Answer{})
		return target.Answer{}, walnutramp.NewError(walnutramp.CodeTargetFailed, walnutramp.NotRun, "%v", err).WithRetryAfter(time.Second)
	}
	s.settle(claim, token, walnutramp.Unknown, target.Answer{})
	return target.Answer{}, walnutramp.NewError(walnutramp.CodeOutcomeUnknown, walnutramp.Unknown, "the request was sent and no answer came: %v", err)
}

// notSent reports whether nothing of the call was sent.
func notSent(err error) bool {
	var unsent *target.NotSentError
	return errors.As(err, &unsent)
}

func (s *serviceCall) settle(claim Claim, token uint64, outcome walnutramp.Outcome, a target.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := s.h.cfg.Ledger.Settle(ctx, claim, token, outcome, a); err != nil {
		klog.ErrorS(err, "Failed to record outcome in the ledger", "account", claim.Account, "outcome", outcome)
	}
}
