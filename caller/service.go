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

// Claim names a request that may not be repeated.
type Claim struct {
	Account walnutramp.ClientAccount
	Key     string
	Digest  string // of method, path and body
}

// Held is what the ledger knows of a claim.
type Held struct {
	Mine    bool // this claim is new and its holder may send once
	Token   uint64
	Outcome walnutramp.Outcome // of an older claim; Unknown while it runs
	Settled bool
	Digest  string
	Answer  target.Answer // kept where Outcome is Ran
}

// Ledger keeps who may run a request that may not be repeated, and what came
// of it. An error means that nothing is known to be claimed.
type Ledger interface {
	// Claim makes a claim durable, or returns the one that was first.
	Claim(ctx context.Context, c Claim) (Held, error)
	// Settle records the outcome of one's own claim.
	Settle(ctx context.Context, c Claim, token uint64, outcome walnutramp.Outcome, a target.Answer) error
}

// attemptsPerCall bounds how often a repeatable call is sent.
const attemptsPerCall = 3

func (h *Handler) serveService(w http.ResponseWriter, r *http.Request, account bundle.Account) {
	svc, ok := h.cfg.Bundle().Service(r.PathValue("service"))
	if !ok {
		h.refuse(w, walnutramp.NewError(walnutramp.CodeUnknownPath, walnutramp.NotRun, "no service %q is in the bundle in force", r.PathValue("service")))
		return
	}
	body, refusal := h.readBody(w, r)
	if refusal != nil {
		h.refuse(w, refusal)
		return
	}
	call := target.Call{Method: r.Method, Path: "/" + r.PathValue("path"), Header: forwarded(r.Header), Body: body}
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	s := &serviceCall{h: h, account: account, service: svc, call: call, key: r.Header.Get(headerKey),
		content: contentOf(body, account, svc.Name, call.Method, call.Path)}
	if held := h.cfg.Quarantine.Refuse(s.content); held != nil {
		h.refuse(w, held)
		return
	}
	var a target.Answer
	var err error
	if svc.Repeatable(r.Method, "/"+r.PathValue("path")) {
		a, err = s.repeatable(r.Context())
	} else {
		a, err = s.once(r.Context())
	}
	if err != nil {
		h.refuse(w, walnutramp.AsError(err))
		return
	}
	h.cfg.Observe.Answered(walnutramp.CodeOK)
	writeAnswer(w, a)
}

// keptHeaders are those a service gets from the caller and back.
var keptHeaders = []string{"Content-Type", "Accept", "Accept-Language", headerKey}

func forwarded(from http.Header) http.Header {
	kept := http.Header{}
	for _, name := range keptHeaders {
		if v := from.Values(name); len(v) > 0 {
			kept[http.CanonicalHeaderKey(name)] = v
		}
	}
	return kept
}

func writeAnswer(w http.ResponseWriter, a target.Answer) {
	if ct := a.Header.Get("Content-Type"); ct != "" {
		w.Header().Set("Content-Type", ct)
	}
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}

// serviceCall is one caller's call of a plain service.
type serviceCall struct {
	h       *Handler
	account bundle.Account
	service bundle.Service
	call    target.Call
	key     string
	content quarantine.Fingerprint
	look    *quarantine.Look // whether the target that broke off last has ended
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

// repeatable sends a call that may be sent again, within the budget, until
// one target answers.
func (s *serviceCall) repeatable(ctx context.Context) (target.Answer, error) {
	var avoid []walnutramp.TargetName
	var last error
	for i := range attemptsPerCall {
		if i > 0 {
			if stop := s.h.cfg.Quarantine.Stop(s.look, s.content); stop != nil {
				return target.Answer{}, stop
			}
			if !s.h.cfg.Router.SpendRetry() {
				break
			}
		}
		grant, err := s.pick(ctx, avoid)
		if err != nil {
			return target.Answer{}, notRunUnless(last, err)
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

// notRunUnless returns err, whose outcome is not-run only if nothing was sent
// before it.
func notRunUnless(sent, err error) error {
	if sent == nil {
		return err
	}
	e := *walnutramp.AsError(err)
	e.Outcome = walnutramp.Unknown
	return &e
}

func (s *serviceCall) send(ctx context.Context, grant *route.Grant, once bool) (target.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.h.cfg.ServiceTime)
	defer cancel()
	sent := uptime.Now()
	a, err := s.h.cfg.Services.Service(grant.Target, once).Do(ctx, s.call)
	if err != nil {
		if ctx.Err() == nil && !notSent(err) {
			s.noteBreak(grant, sent)
		}
		grant.Done(route.NoAnswer(err))
		return a, err
	}
	grant.Done(route.Finished)
	s.h.cfg.Quarantine.Sound(s.content)
	return a, nil
}

// once sends a call that may not be repeated: it is claimed first, sent once,
// and its outcome recorded.
func (s *serviceCall) once(ctx context.Context) (target.Answer, error) {
	if s.key == "" {
		return target.Answer{}, walnutramp.NewError(walnutramp.CodeKeyMissing, walnutramp.NotRun, "this call may not be repeated and has no %s", headerKey)
	}
	if len(s.key) > maxKey {
		return target.Answer{}, walnutramp.NewError(walnutramp.CodeBadRequest, walnutramp.NotRun, "%s is longer than %d bytes", headerKey, maxKey)
	}
	if s.h.cfg.Ledger == nil {
		return target.Answer{}, walnutramp.NewError(walnutramp.CodeLedgerAway, walnutramp.NotRun, "this node has no ledger")
	}
	claim := Claim{Account: s.account.Name, Key: s.key, Digest: s.digest()}
	if s.h.cfg.SendFirst {
		return s.runClaimed(ctx, claim, 0)
	}
	held, err := s.claim(ctx, claim)
	if err != nil {
		return target.Answer{}, err
	}
	if !held.Mine {
		return earlier(claim, held)
	}
	return s.runClaimed(ctx, claim, held.Token)
}

// How a repeat waits for the one that was claimed before it.
const (
	twinPatience = 5 * time.Second
	twinPause    = 200 * time.Millisecond
)

// claim asks the ledger until the claim is this call's or the earlier one has
// an outcome, for a while: the earlier may be just ending, or its node may be
// about to record that it sent nothing.
func (s *serviceCall) claim(ctx context.Context, c Claim) (Held, error) {
	began := time.Now()
	for {
		held, err := s.h.cfg.Ledger.Claim(ctx, c)
		open := err == nil && !held.Mine && !held.Settled && held.Digest == c.Digest
		if !open || time.Since(began) > twinPatience || !pause.For(ctx, twinPause) {
			return held, err
		}
	}
}

func (s *serviceCall) digest() string {
	return bundle.Digest([]byte(s.service.Name + "\n" + s.call.Method + "\n" + s.call.Path + "\n" + string(s.call.Body)))
}

// earlier answers for a request that was claimed before.
func earlier(c Claim, held Held) (target.Answer, error) {
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

// settleTime bounds the recording of an outcome, which goes on when the
// caller has left.
const settleTime = 5 * time.Second

func (s *serviceCall) runClaimed(ctx context.Context, claim Claim, token uint64) (target.Answer, error) {
	grant, err := s.pick(ctx, nil)
	if err != nil {
		s.settle(claim, token, walnutramp.NotRun, target.Answer{})
		return target.Answer{}, err
	}
	// The call goes on when its caller leaves: its outcome must be known.
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

// notSent reports whether the connection was never made.
func notSent(err error) bool {
	var unsent *target.NotSentError
	return errors.As(err, &unsent)
}

func (s *serviceCall) settle(claim Claim, token uint64, outcome walnutramp.Outcome, a target.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	if err := s.h.cfg.Ledger.Settle(ctx, claim, token, outcome, a); err != nil {
		klog.ErrorS(err, "Outcome not recorded", "account", claim.Account, "outcome", outcome)
	}
}
