package control

import (
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/target"
)

// The ledger is the part of the state that says who may run a request which may
// not be repeated, and what came of it.

// Claim asks to be the one who runs a request.
type Claim struct {
	Account walnutramp.ClientAccount
	Key     string
	Digest  string
	Token   uint64 // names the claimer; a claim sent again has the same
}

// Settle records what came of a claim.
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
	At      int64 // last change, unix milliseconds
}

type ledgerKey struct {
	Account walnutramp.ClientAccount
	Key     string
}

// claim gives a request to the first who asks for it. A claim that is known
// not to have run may be had again.
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

// settle records an outcome, once, and only by the claim's holder.
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

// sweep forgets settled entries that are old. What has no outcome is kept.
func (s *State) sweep(now int64) {
	for k, e := range s.ledger {
		if e.Settled && now-e.At > RetainMillis {
			delete(s.ledger, k)
		}
	}
}
