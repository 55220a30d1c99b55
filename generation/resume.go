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

// Broken is a generation whose stream ended early, as resumers see it.
type Broken struct {
	State   State
	Stalled bool // the target fell silent; its stream is not to be read again
	Alive   bool // the target may still run the stream
	g       *Generation
}

// Forecast is what a way to resume is predicted to take.
type Forecast struct {
	Gap    time.Duration // until the next token
	Tokens int           // tokens to compute again
}

// Resumer is one way to take a broken generation up again.
type Resumer interface {
	// Name names the way in logs and metrics.
	Name() string
	// Forecast predicts the way's gap and cost; false means it can't serve.
	Forecast(b *Broken) (Forecast, bool)
	// Resume opens a stream that goes on right behind the log.
	Resume(ctx context.Context, b *Broken) (*attempt, error)
}

// Prioritized is a Resumer and its rank among equals, lower first.
type Prioritized struct {
	Resumer
	Priority int
}

// What a recomputed token weighs against a millisecond of gap.
const (
	tokenWeightLatency = 2 * time.Microsecond
	tokenWeightCost    = 500 * time.Microsecond
)

const reattachLimit = 300 * time.Millisecond

// resume takes the broken generation up again by the way with the best
// forecast, falling back to the next. The error says why none serves.
func (g *Generation) resume(ctx context.Context, why cause) (*attempt, error) {
	began := time.Now()
	b := g.broken(why)
	if g.complete() {
		return nil, nil
	}
	for ctx.Err() == nil {
		err := walnutramp.NewError(walnutramp.CodeSeamRefused, walnutramp.Unknown,
			"the stream ended and options %v can't be carried on by another engine", b.State.Spec.Bound)
		var last error = err
		for _, w := range g.m.ways(b) {
			if stop := g.m.cfg.Quarantine.Stop(g.look, g.content()); stop != nil {
				return nil, stop
			}
			a, err := w.resumer.Resume(ctx, b)
			if err == nil {
				g.m.cfg.Observe.Resumed(g.id, w.resumer.Name(), time.Since(began), w.forecast.Tokens)
				return a, nil
			}
			last = err
		}
		if !retryable(last) {
			return nil, last
		}
		b = g.broken(causeStalled)
		if !pause.For(ctx, retryPause) {
			break
		}
	}
	return nil, ctx.Err()
}

// retryPause separates rounds in which every target failed but some live.
const retryPause = 20 * time.Millisecond

// retryable reports whether another round may go better: an attempt failed,
// as against the router or an engine having said no.
func retryable(err error) bool {
	var e *walnutramp.Error
	if errors.As(err, &e) {
		return false
	}
	var status *target.StatusError
	return !errors.As(err, &status) || !status.Final()
}

func (g *Generation) complete() bool {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	return g.rec.state.Final != nil
}

func (g *Generation) broken(why cause) *Broken {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	return &Broken{
		State:   g.rec.copyState(),
		Stalled: why == causeStalled,
		Alive:   why == causeClosed || why == causeTakenOver,
		g:       g,
	}
}

type way struct {
	resumer  Resumer
	forecast Forecast
	score    time.Duration
}

// ways returns the resumers that can serve, best forecast first.
func (m *Manager) ways(b *Broken) []way {
	weight := tokenWeightLatency
	if m.cfg.Leaning() == bundle.LeanCost {
		weight = tokenWeightCost
	}
	var ways []way
	for _, r := range m.cfg.Resumers {
		if f, ok := r.Forecast(b); ok {
			ways = append(ways, way{r.Resumer, f, f.Gap + time.Duration(f.Tokens)*weight})
		}
	}
	slices.SortStableFunc(ways, func(a, b way) int { return int(a.score - b.score) })
	return ways
}

// Reattach reads the same stream on at the same engine.
type Reattach struct{}

// Name implements Resumer.
func (Reattach) Name() string { return "reattach" }

// reattachGap is the forecast for an engine that still runs the stream.
const reattachGap = 5 * time.Millisecond

// Forecast implements Resumer.
func (Reattach) Forecast(b *Broken) (Forecast, bool) {
	return Forecast{Gap: reattachGap}, b.Alive && b.State.Source.Seq > 0
}

// Resume implements Resumer.
func (Reattach) Resume(ctx context.Context, b *Broken) (*attempt, error) {
	g := b.g
	src := b.State.Source
	req := request(&b.State.Spec, 0)
	req.Resume = true
	grant, ok := g.m.cfg.Router.Hold(src.Target, req)
	if !ok {
		return nil, errors.Newf("target %s is not in the bundle", src.Target)
	}
	a := &attempt{grant: grant, engine: g.m.cfg.Engines.Engine(grant.Target), source: src}
	a.next = walnutramp.Offset(len(b.State.Tokens)) - src.Base
	return g.openStream(ctx, a, reattachLimit, func(ctx context.Context) (target.Stream, error) {
		return a.engine.Attach(ctx, src.StreamID, a.next)
	})
}

// Prefill gives the prompt and every token so far to another engine.
type Prefill struct{}

// Name implements Resumer.
func (Prefill) Name() string { return "prefill" }

// Forecast implements Resumer.
func (Prefill) Forecast(b *Broken) (Forecast, bool) {
	if _, ok := b.sequence(); !ok {
		return Forecast{}, false
	}
	tokens := b.size()
	gap, ok := b.g.m.cfg.Router.Forecast(b.request())
	if !ok {
		gap = noTargetGap
	}
	return Forecast{Gap: gap, Tokens: tokens}, true
}

// noTargetGap ranks a way last while no target is live; trying it gives the
// router's own word on that.
const noTargetGap = time.Hour

// Resume implements Resumer.
func (Prefill) Resume(ctx context.Context, b *Broken) (*attempt, error) {
	prompt, _ := b.sequence()
	return b.restart(ctx, prompt, nil)
}

func (b *Broken) restart(ctx context.Context, prompt target.Prompt, kv *target.KVHandle) (*attempt, error) {
	grant, err := b.g.m.cfg.Router.Pick(ctx, b.request())
	if err != nil {
		return nil, err
	}
	return b.g.start(ctx, grant, prompt, kv)
}

func (b *Broken) request() (req route.Request) {
	req = request(&b.State.Spec, b.size())
	req.Resume = true
	if b.State.Source.Seq > 0 {
		req.Avoid = []walnutramp.TargetName{b.State.Source.Target}
	}
	return req
}

// size is how many tokens stand before the next one.
func (b *Broken) size() int {
	if b.State.PromptTokens != nil {
		return len(b.State.PromptTokens) + len(b.State.Tokens)
	}
	return b.State.Spec.PromptSize() + len(b.State.Tokens)
}

// sequence returns the prompt that makes another engine go on exactly behind
// the log. It exists only as token numbers, except before the first token.
func (b *Broken) sequence() (target.Prompt, bool) {
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

// ImportKV moves a stream with its KV cache to another engine, while the
// first still answers.
type ImportKV struct{}

// Name implements Resumer.
func (ImportKV) Name() string { return "kv-import" }

// Forecast implements Resumer.
func (ImportKV) Forecast(b *Broken) (Forecast, bool) {
	if _, ok := b.sequence(); !ok || !b.Alive || b.State.Source.Seq == 0 {
		return Forecast{}, false
	}
	gap, ok := b.g.m.cfg.Router.Forecast(b.emptyRequest())
	return Forecast{Gap: gap + exportGap}, ok
}

// exportGap is the forecast for one export call.
const exportGap = 10 * time.Millisecond

func (b *Broken) emptyRequest() route.Request {
	req := b.request()
	req.PromptTokens = 0
	return req
}

// Resume implements Resumer.
func (ImportKV) Resume(ctx context.Context, b *Broken) (*attempt, error) {
	prompt, _ := b.sequence()
	grant, ok := b.g.m.cfg.Router.Hold(b.State.Source.Target, b.emptyRequest())
	if !ok {
		return nil, errors.Newf("target %s is not in the bundle", b.State.Source.Target)
	}
	defer grant.Done(route.Left)
	exportCtx, cancel := context.WithTimeout(ctx, reattachLimit)
	defer cancel()
	old := b.g.m.cfg.Engines.Engine(grant.Target)
	kv, err := old.Export(exportCtx, b.State.Source.StreamID)
	if err != nil {
		return nil, err
	}
	return b.restart(ctx, prompt, &kv)
}
