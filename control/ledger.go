package control

import (
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/target"
)

// The ledger records, by idempotency key, which node runs a request that must not
// run twice, and its outcome.

// Claim asks for the right to run a request.
type Claim struct {
	Account walnutramp.ClientAccount
	Key     string
	Digest  string
	Token   uint64 // identifies the claimant; the same when a claim is retried
}

// Settle records the outcome of a claimed request.
type Settle struct {
	Account walnutramp.ClientAccount
	Key     string
	Token   uint64
	Outcome walnutramp.Outcome
	Answer  target.Answer
}

// Entry is one request in the ledger.
type Entry struct {
	Digest  string
	Token   uint64
	Settled bool
	Outcome walnutramp.Outcome
	Answer  target.Answer
	At      int64 // last change, Unix milliseconds
}

type ledgerKey struct {
	Account walnutramp.ClientAccount
	Key     string
}

// claim grants a request to the first claimant; Mine of the result says whether that is
// the claimant of c. A request that is known not to have run can be claimed again, with
// another token.
func (s *State) claim(c *Claim, now int64) Result {
	k := ledgerKey{c.Account, c.Key}
	e, ok := s.ledger[k]
	if ok && e.Digest != c.Digest {
		return Result{Code: walnutramp.CodeKeyReused, Entry: e}
	}
	if ok && (!e.Settled || e.Outcome != walnutramp.NotRun) {
		return Result{Code: walnutramp.CodeOK, Entry: e, Mine: !e.Settled && e.Token == c.Token}
	}
	if ok && e.Token == c.Token {
		return Result{Code: walnutramp.CodeOK, Entry: e}
	}
	e = Entry{Digest: c.Digest, Token: c.Token, Outcome: walnutramp.Unknown, At: now}
	s.ledger[k] = e
	return Result{Code: walnutramp.CodeOK, Entry: e, Mine: true}
}

// settle records an outcome once, and only for the holder of the claim. Settling again
// returns the first outcome.
func (s *State) settle(c *Settle, now int64) Result {
	k := ledgerKey{c.Account, c.Key}
	e, ok := s.ledger[k]
	if !ok || e.Token != c.Token {
		return Result{Code: walnutramp.CodeNotHeld, Entry: e}
	}
	if !e.Settled {
		e.Settled, e.Outcome, e.Answer, e.At = true, c.Outcome, c.Answer, now
		s.ledger[k] = e
	}
	return Result{Code: walnutramp.CodeOK, Entry: e}
}

// purgeLedger deletes settled entries older than RetainMillis. Unsettled entries
// are kept.
func (s *State) purgeLedger(now int64) {
	for k, e := range s.ledger {
		if e.Settled && now-e.At > RetainMillis {
			delete(s.ledger, k)
		}
	}
}
