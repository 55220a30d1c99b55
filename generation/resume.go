package generation

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/route"
	"github.com/walnutramp/walnutramp/target"
)

// Interrupted is a generation whose stream ended early, as resumers see it.
type Interrupted struct {
	State   State
	Stalled bool // the target stopped sending; its stream must not be read again
	Alive   bool // the target may still run the stream
	g       *Generation
}

// Forecast is the predicted cost of a resume.
type Forecast struct {
	Gap    time.Duration // until the next token
	Tokens int           // number of tokens to recompute
}

// Resumer is a method of resuming an interrupted generation.
type Resumer interface {
	// Name identifies the method in logs and metrics.
	Name() string
	// Forecast predicts the gap and the tokens to recompute; false means that the method
	// is not applicable.
	Forecast(b *Interrupted) (Forecast, bool)
	// Resume opens a stream that continues at the end of the log.
	Resume(ctx context.Context, b *Interrupted) (*attempt, error)
}

// Prioritized is a Resumer and its rank among equal forecasts, lower first.
type Prioritized struct {
	Resumer
	Priority int
}

// Cost of a recomputed token, expressed as an equivalent gap.
const (
	tokenWeightLatency = 2 * time.Microsecond
	tokenWeightCost    = 500 * time.Microsecond
)

const reattachTimeout = 300 * time.Millisecond

// resume continues the interrupted generation with the resumer of the best forecast, and
// falls back to the others in order, in rounds until the error is final. It returns the
// error of the last resumer, or neither attempt nor error if the log is complete.
func (g *Generation) resume(ctx context.Context, why cause) (*attempt, error) {
	began := time.Now()
	b := g.interrupted(why)
	if g.finished() {
		return nil, nil
	}
	for ctx.Err() == nil {
		err := walnutramp.NewError(walnutramp.CodeResumeRefused, walnutramp.Unknown,
			"the stream ended and options %v can't be carried on by another engine", b.State.Spec.Bound)
		var last error = err
		for _, c := range g.m.resumeCandidates(b) {
			if stop := g.m.cfg.Quarantine.CheckRetry(g.crashProbe, g.fingerprint()); stop != nil {
				return nil, stop
			}
			a, err := c.resumer.Resume(ctx, b)
			if err == nil {
				g.m.cfg.Observe.Resumed(g.id, c.resumer.Name(), time.Since(began), c.forecast.Tokens)
				return a, nil
			}
			last = err
		}
		if !retryable(last) {
			return nil, last
		}
		b = g.interrupted(causeStalled)
		if !pause.For(ctx, resumeRetryDelay) {
			break
		}
	}
	return nil, ctx.Err()
}

// resumeRetryDelay is the wait between two rounds of resume.
const resumeRetryDelay = 20 * time.Millisecond

// retryable reports whether another round may succeed: the failure was not a decision of
// the router or an engine.
func retryable(err error) bool {
	var e *walnutramp.Error
	if errors.As(err, &e) {
		return false
	}
	var status *target.StatusError
	return !errors.As(err, &status) || !status.Final()
}

func (g *Generation) finished() bool {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	return g.rec.state.Final != nil
}

func (g *Generation) interrupted(why cause) *Interrupted {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	return &Interrupted{
		State:   g.rec.copyState(),
		Stalled: why == causeStalled,
		Alive:   why == causeClosed || why == causeTakenOver,
		g:       g,
	}
}

type resumeCandidate struct {
	resumer  Resumer
	forecast Forecast
	score    time.Duration
}

// resumeCandidates returns the applicable resumers, best forecast first.
func (m *Manager) resumeCandidates(b *Interrupted) []resumeCandidate {
	weight := tokenWeightLatency
	if m.cfg.Leaning() == bundle.PreferCost {
		weight = tokenWeightCost
	}
	var candidates []resumeCandidate
	for _, r := range m.cfg.Resumers {
		if f, ok := r.Forecast(b); ok {
			candidates = append(candidates, resumeCandidate{r.Resumer, f, f.Gap + time.Duration(f.Tokens)*weight})
		}
	}
	slices.SortStableFunc(candidates, func(a, b resumeCandidate) int { return int(a.score - b.score) })
	return candidates
}

// Reattach continues the same stream at the same engine.
type Reattach struct{}

// Name implements Resumer.
func (Reattach) Name() string { return "reattach" }

// reattachGap is the forecast for an engine that still runs the stream.
const reattachGap = 5 * time.Millisecond

// Forecast implements Resumer.
func (Reattach) Forecast(b *Interrupted) (Forecast, bool) {
	return Forecast{Gap: reattachGap}, b.Alive && b.State.Source.Seq > 0
}

// Resume implements Resumer.
func (Reattach) Resume(ctx context.Context, b *Interrupted) (*attempt, error) {
	g := b.g
	src := b.State.Source
	req := routeRequest(&b.State.Spec, 0)
	req.Resume = true
	grant, ok := g.m.cfg.Router.Hold(src.Target, req)
	if !ok {
		return nil, errors.Newf("target %s is not in the bundle", src.Target)
	}
	a := &attempt{grant: grant, engine: g.m.cfg.Engines.Engine(grant.Target), source: src}
	a.next = walnutramp.Offset(len(b.State.Tokens)) - src.Base
	return g.openStream(ctx, a, reattachTimeout, func(ctx context.Context) (target.Stream, error) {
		return a.engine.Attach(ctx, src.StreamID, a.next)
	})
}

// Prefill restarts at another engine with the prompt and all tokens so far.
type Prefill struct{}

// Name implements Resumer.
func (Prefill) Name() string { return "prefill" }

// Forecast implements Resumer.
func (Prefill) Forecast(b *Interrupted) (Forecast, bool) {
	if _, ok := b.resumePrompt(); !ok {
		return Forecast{}, false
	}
	tokens := b.contextTokens()
	gap, ok := b.g.m.cfg.Router.Forecast(b.request())
	if !ok {
		gap = noTargetGap
	}
	return Forecast{Gap: gap, Tokens: tokens}, true
}

// noTargetGap ranks a resumer last while no target is live; trying it returns the
// router's error.
const noTargetGap = time.Hour

// Resume implements Resumer.
func (Prefill) Resume(ctx context.Context, b *Interrupted) (*attempt, error) {
	prompt, _ := b.resumePrompt()
	return b.restart(ctx, prompt, nil)
}

func (b *Interrupted) restart(ctx context.Context, prompt target.Prompt, kv *target.KVHandle) (*attempt, error) {
	grant, err := b.g.m.cfg.Router.Pick(ctx, b.request())
	if err != nil {
		return nil, err
	}
	return b.g.start(ctx, grant, prompt, kv)
}

func (b *Interrupted) request() (req route.Request) {
	req = routeRequest(&b.State.Spec, b.contextTokens())
	req.Resume = true
	if len(b.State.Tokens) > 0 {
		req.Bound, req.Software = true, b.State.Source.Software
	}
	if b.State.Source.Seq > 0 {
		req.Avoid = []walnutramp.TargetName{b.State.Source.Target}
	}
	return req
}

// contextTokens returns the number of prompt and output tokens so far.
func (b *Interrupted) contextTokens() int {
	if b.State.PromptTokens != nil {
		return len(b.State.PromptTokens) + len(b.State.Tokens)
	}
	return b.State.Spec.PromptSize() + len(b.State.Tokens)
}

// resumePrompt returns the prompt with which another engine continues exactly at the end
// of the log. Once there is output, it requires the token IDs of prompt and output.
func (b *Interrupted) resumePrompt() (target.Prompt, bool) {
	if len(b.State.Tokens) == 0 {
		return b.State.Spec.Prompt, true
	}
	if b.State.PromptTokens == nil || len(b.State.Spec.Bound) > 0 {
		return target.Prompt{}, false
	}
	ids := slices.Clone(b.State.PromptTokens)
	for _, t := range b.State.Tokens {
		if t.ID == walnutramp.NoTokenID {
			return target.Prompt{}, false
		}
		ids = append(ids, t.ID)
	}
	return target.Prompt{Tokens: ids}, true
}

// ImportKV transfers the KV cache of a stream to another engine, while the first engine
// still answers.
type ImportKV struct{}

// Name implements Resumer.
func (ImportKV) Name() string { return "kv-import" }

// Forecast implements Resumer.
func (ImportKV) Forecast(b *Interrupted) (Forecast, bool) {
	if _, ok := b.resumePrompt(); !ok || !b.Alive || b.State.Source.Seq == 0 {
		return Forecast{}, false
	}
	gap, ok := b.g.m.cfg.Router.Forecast(b.requestWithoutPrefill())
	return Forecast{Gap: gap + exportGap}, ok
}

// exportGap is the forecast for one export call.
const exportGap = 10 * time.Millisecond

func (b *Interrupted) requestWithoutPrefill() route.Request {
	req := b.request()
	req.PromptTokens = 0
	return req
}

// Resume implements Resumer.
func (ImportKV) Resume(ctx context.Context, b *Interrupted) (*attempt, error) {
	prompt, _ := b.resumePrompt()
	grant, ok := b.g.m.cfg.Router.Hold(b.State.Source.Target, b.requestWithoutPrefill())
	if !ok {
		return nil, errors.Newf("target %s is not in the bundle", b.State.Source.Target)
	}
	defer grant.Done(route.Canceled)
	exportCtx, cancel := context.WithTimeout(ctx, reattachTimeout)
	defer cancel()
	old := b.g.m.cfg.Engines.Engine(grant.Target)
	kv, err := old.Export(exportCtx, b.State.Source.StreamID)
	if err != nil {
		return nil, err
	}
	return b.restart(ctx, prompt, &kv)
}
