package generation

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/route"
	"github.com/walnutramp/walnutramp/target"
	"k8s.io/klog/v2"
)

// attempt is one engine stream that feeds the generation.
type attempt struct {
	grant   *route.Grant
	engine  target.Engine
	stream  target.Stream
	source  Source
	release context.CancelFunc
	next    walnutramp.Offset  // place in the stream of the token that comes next
	pending []walnutramp.Token // tokens whose text the engine still holds back
	sent    time.Time          // when it was sent to the engine
	first   time.Time          // when its first token came
	settled bool               // it has gone on for a while
}

// cause is why an attempt ended.
type cause int

const (
	causeFinished  cause = iota
	causeClosed          // the connection broke or was refused
	causeStalled         // the target fell silent
	causeStopped         // this side ended it
	causeTakenOver       // another node owned the generation before
)

// launch starts the task that feeds the generation; grant is nil when it
// resumes. False means the node is closing.
func (g *Generation) launch(grant *route.Grant) bool {
	ctx, stop := context.WithCancel(g.m.ctx)
	g.rec.mu.Lock()
	g.running = true
	g.stop = stop
	g.rec.mu.Unlock()
	if g.m.spawn(func() { g.run(ctx, grant) }) {
		return true
	}
	stop()
	g.halted()
	return false
}

func (g *Generation) halted() {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	g.running = false
	g.stop = nil
	g.rec.touched = time.Now()
}

// run feeds the generation from one attempt after another.
func (g *Generation) run(ctx context.Context, grant *route.Grant) {
	defer g.halted()
	var a *attempt
	var err error
	why := causeTakenOver
	if grant != nil {
		a, err = g.begin(ctx, grant)
		why = causeClosed
	}
	began := time.Now()
	for {
		if a != nil {
			why = g.pump(ctx, a, began)
			g.retire(a, why)
			began = time.Now()
		}
		if why == causeFinished || ctx.Err() != nil {
			return
		}
		if final := g.refused(err); final != nil {
			g.fail(final)
			return
		}
		a, err = g.resume(ctx, why)
		if a == nil {
			g.fail(err)
			return
		}
	}
}

// refused returns the answer for an error that another engine would repeat.
func (g *Generation) refused(err error) error {
	var status *target.StatusError
	if errors.As(err, &status) && status.Final() {
		return walnutramp.NewError(walnutramp.CodeEngineRefused, walnutramp.NotRun, "%v", status)
	}
	return nil
}

func (g *Generation) fail(err error) {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	e := walnutramp.AsError(err)
	if g.sent && e.Outcome == walnutramp.NotRun && e.Code != walnutramp.CodeEngineRefused {
		e = &walnutramp.Error{Code: walnutramp.CodeOutOfTargets, Outcome: walnutramp.Unknown, Message: e.Message, RetryAfter: e.RetryAfter}
	}
	g.end(e)
}

// begin starts the first attempt, with the prompt as the caller gave it.
func (g *Generation) begin(ctx context.Context, grant *route.Grant) (*attempt, error) {
	g.rec.mu.Lock()
	spec := g.rec.state.Spec
	g.rec.mu.Unlock()
	return g.start(ctx, grant, spec.Prompt, nil)
}

// start sends a prompt to the granted target and makes it the source.
func (g *Generation) start(ctx context.Context, grant *route.Grant, prompt target.Prompt, kv *target.KVHandle) (*attempt, error) {
	g.rec.mu.Lock()
	st := &g.rec.state
	src := Source{
		Target: grant.Target.Name,
		Base:   walnutramp.Offset(len(st.Tokens)),
		Seq:    st.Source.Seq + 1,
	}
	src.StreamID = streamID(g.id, g.epoch, src.Seq)
	req := target.Attempt{
		StreamID:  src.StreamID,
		Model:     st.Spec.Model,
		Prompt:    prompt,
		MaxTokens: st.Spec.MaxTokens - len(st.Tokens),
		Priority:  st.Spec.Priority,
		Options:   st.Spec.Options,
		KV:        kv,
	}
	if src.Base > 0 {
		req.Priority += resumePriority
	}
	g.rec.mu.Unlock()
	g.setSource(src)
	a := &attempt{grant: grant, engine: g.m.cfg.Engines.Engine(grant.Target), source: src}
	return g.openStream(ctx, a, grant.FirstTokenLimit(), func(ctx context.Context) (target.Stream, error) {
		return a.engine.Start(ctx, req)
	})
}

// noteSent notes that an engine may have begun the request: from here on it
// is not told as not-run.
func (g *Generation) noteSent() {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	g.sent = true
}

// resumePriority puts resumed streams before new ones in an engine's queue.
const resumePriority = 1000

// streamID names an attempt at its engine; no two attempts share one.
func streamID(id walnutramp.GenerationID, e Epoch, seq int) string {
	return string(id) + "-" + strconv.FormatUint(e.Number, 10) + "-" + string(e.Node) + "-" + strconv.Itoa(seq)
}

// openStream opens the attempt's stream within a limit on the wait for the
// engine's first answer.
func (g *Generation) openStream(ctx context.Context, a *attempt, limit time.Duration, open func(context.Context) (target.Stream, error)) (*attempt, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(limit, cancel)
	a.sent = uptime.Now()
	stream, err := open(ctx)
	var unsent *target.NotSentError
	if !errors.As(err, &unsent) {
		g.noteSent()
	}
	if err != nil || !timer.Stop() {
		if brokeOff(ctx, err) {
			g.noteBreak(a, quarantine.Waiting)
		}
		cancel()
		if err == nil {
			stream.Close()
			err = errors.New("no answer in time")
		}
		a.grant.Done(route.NoAnswer(err))
		klog.V(1).InfoS("Attempt not opened", "generation", g.id, "target", a.source.Target, "err", err)
		return nil, err
	}
	a.stream = stream
	a.release = cancel
	return a, nil
}

func (g *Generation) noteGap(gap time.Duration) {
	g.rec.mu.Lock()
	account, model := g.rec.state.Spec.Account, g.rec.state.Spec.Model
	g.rec.mu.Unlock()
	g.m.cfg.Observe.ResumeGap(account, model, gap)
}

type received struct {
	chunk target.Chunk
	err   error
}

// pump moves tokens from the attempt into the log until the attempt ends.
// began is when output last stood still.
func (g *Generation) pump(ctx context.Context, a *attempt, began time.Time) cause {
	in := make(chan received)
	quit := make(chan struct{})
	defer close(quit)
	g.m.spawn(func() { receive(a.stream, in, quit) })
	last := began
	limit := time.NewTimer(a.grant.FirstTokenLimit())
	defer limit.Stop()
	for {
		select {
		case r := <-in:
			if r.err != nil {
				g.noteBreak(a, a.standing())
				return causeClosed
			}
			took, finished, ok := g.take(a, r.chunk)
			if !ok {
				return causeClosed
			}
			if finished {
				g.m.cfg.Quarantine.Sound(g.content())
				return causeFinished
			}
			if took > 0 {
				now := time.Now()
				g.noteSettled(a)
				if last.Equal(began) && a.source.Base > 0 {
					g.noteGap(now.Sub(began))
				}
				a.grant.Tokens(now.Sub(last))
				last = now
				limit.Reset(a.grant.SilenceLimit())
			}
		case <-limit.C:
			return causeStalled
		case <-ctx.Done():
			return causeStopped
		}
	}
}

func receive(s target.Stream, in chan<- received, quit <-chan struct{}) {
	for {
		chunk, err := s.Recv()
		select {
		case in <- received{chunk, err}:
		case <-quit:
			return
		}
		if err != nil {
			return
		}
	}
}

// take puts a chunk into the log. Tokens that came before are dropped; a gap
// means the stream can't be trusted and ok is false.
func (g *Generation) take(a *attempt, c target.Chunk) (took int, finished, ok bool) {
	if c.PromptTokens != nil && a.source.Base == 0 {
		g.setPrompt(c.PromptTokens)
	}
	if c.First > a.next {
		return 0, false, false
	}
	known := a.next - c.First
	if int(known) >= len(c.Tokens) && c.Finish == "" {
		return 0, false, true
	}
	fresh := c.Tokens[min(int(known), len(c.Tokens)):]
	a.next += walnutramp.Offset(len(fresh))
	a.pending = append(a.pending, fresh...)
	whole := a.complete(c.Finish != "")
	var final *Final
	if c.Finish != "" {
		final = &Final{Reason: c.Finish, PromptTokens: g.promptTokens()}
	}
	if len(whole) > 0 || final != nil {
		g.extend(whole, final)
	}
	return len(fresh), final != nil, true
}

// complete cuts off the pending tokens up to the last one with text: a log
// never ends inside a character or a held-back stop sequence.
func (a *attempt) complete(all bool) []walnutramp.Token {
	end := len(a.pending)
	for !all && end > 0 && a.pending[end-1].Text == "" {
		end--
	}
	whole := a.pending[:end]
	a.pending = append([]walnutramp.Token(nil), a.pending[end:]...)
	return whole
}

func (g *Generation) promptTokens() int {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	if st := &g.rec.state; st.PromptTokens != nil {
		return len(st.PromptTokens)
	}
	return g.rec.state.Spec.PromptSize()
}

// retire closes an attempt and, unless it finished, cancels it at the engine.
func (g *Generation) retire(a *attempt, why cause) {
	a.release()
	a.stream.Close()
	a.grant.Done(result(why))
	if why == causeStalled || why == causeStopped && !g.movedAway() {
		g.cancelAt(a)
	}
}

// movedAway reports whether another node has the generation now; then its
// stream is left for that node.
func (g *Generation) movedAway() bool {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	return g.rec.owner != g || g.m.ctx.Err() != nil
}

func (g *Generation) cancelAt(a *attempt) {
	g.m.aside(func() {
		if err := a.engine.Cancel(context.Background(), a.source.StreamID); err != nil {
			klog.V(2).InfoS("Cancel failed", "generation", g.id, "target", a.source.Target, "err", err)
		}
	})
}

func result(why cause) route.Result {
	switch why {
	case causeFinished:
		return route.Finished
	case causeStalled:
		return route.Stalled
	case causeStopped:
		return route.Left
	}
	return route.Broken
}
