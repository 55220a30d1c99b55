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
	grant        *route.Grant
	engine       target.Engine
	stream       target.Stream
	source       Source
	release      context.CancelFunc
	next         walnutramp.Offset  // offset of the next token in the stream
	pending      []walnutramp.Token // tokens whose text the engine still withholds
	sentAt       time.Time          // when the request was sent to the engine
	firstTokenAt time.Time
	settled      bool // it has gone on for quarantine.Onset
}

// cause is why an attempt ended.
type cause int

const (
	causeFinished  cause = iota
	causeClosed          // the connection broke or was refused, or the stream had a gap
	causeStalled         // the target stopped sending
	causeStopped         // canceled by this node
	causeTakenOver       // the previous owner was another node
)

// launch starts the task that feeds the generation; grant is nil to resume. It returns
// false if the manager is closed.
func (g *Generation) launch(grant *route.Grant) bool {
	ctx, stop := context.WithCancel(g.m.ctx)
	g.rec.mu.Lock()
	g.running = true
	g.stop = stop
	g.rec.mu.Unlock()
	if g.m.spawn(func() { g.feed(ctx, grant) }) {
		return true
	}
	stop()
	g.markStopped()
	return false
}

func (g *Generation) markStopped() {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	g.running = false
	g.stop = nil
	g.rec.lastUsed = time.Now()
}

// feed runs one attempt after another until the generation ends.
func (g *Generation) feed(ctx context.Context, grant *route.Grant) {
	defer g.markStopped()
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
		if final := g.engineRejection(err); final != nil {
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

// engineRejection returns the error to report if an engine rejected the request in a way
// that other engines would repeat.
func (g *Generation) engineRejection(err error) error {
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
	if g.dispatched && e.Outcome == walnutramp.NotRun && e.Code != walnutramp.CodeEngineRefused {
		code := walnutramp.CodeOutOfTargets
		if e.Code == walnutramp.CodeVersionGone {
			code = e.Code
		}
		e = &walnutramp.Error{Code: code, Outcome: walnutramp.Unknown, Message: e.Message, RetryAfter: e.RetryAfter}
	}
	g.terminate(e)
}

// begin starts the first attempt, with the caller's prompt.
func (g *Generation) begin(ctx context.Context, grant *route.Grant) (*attempt, error) {
	g.rec.mu.Lock()
	spec := g.rec.state.Spec
	g.rec.mu.Unlock()
	return g.start(ctx, grant, spec.Prompt, nil)
}

// start sends a prompt to the granted target and makes the new stream the generation's
// source, even if it then fails to open.
func (g *Generation) start(ctx context.Context, grant *route.Grant, prompt target.Prompt, kv *target.KVHandle) (*attempt, error) {
	g.rec.mu.Lock()
	st := &g.rec.state
	src := Source{
		Target: grant.Target.Name,
		Base:   walnutramp.Offset(len(st.Tokens)),
		Seq:    st.Source.Seq + 1,
	}
	src.StreamID = streamID(g.id, g.epoch, src.Seq)
	src.Software = st.Source.Software
	if src.Base == 0 {
		src.Software = grant.Software()
	}
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

// markDispatched records that an engine may have started the request, so that it is no
// longer reported as not run.
func (g *Generation) markDispatched() {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	g.dispatched = true
}

// resumePriority puts resumed streams ahead of new ones in an engine's queue.
const resumePriority = 1000

// streamID returns the ID of an attempt at its engine, unique to the attempt.
func streamID(id walnutramp.GenerationID, e Epoch, seq int) string {
	return string(id) + "-" + strconv.FormatUint(e.Number, 10) + "-" + string(e.Node) + "-" + strconv.Itoa(seq)
}

// openStream opens the attempt's stream. The limit bounds the wait for the engine's first
// answer.
func (g *Generation) openStream(ctx context.Context, a *attempt, limit time.Duration, open func(context.Context) (target.Stream, error)) (*attempt, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(limit, cancel)
	a.sentAt = uptime.Now()
	stream, err := open(ctx)
	var unsent *target.NotSentError
	if !errors.As(err, &unsent) {
		g.markDispatched()
	}
	if err != nil || !timer.Stop() {
		if connectionLost(ctx, err) {
			g.recordConnectionLoss(a, quarantine.Waiting)
		}
		cancel()
		if err == nil {
			stream.Close()
			err = errors.New("no answer from the engine within the time limit")
		}
		a.grant.Done(route.NoAnswer(err))
		klog.V(1).InfoS("Failed to open engine stream", "generation", g.id, "target", a.source.Target, "err", err)
		return nil, err
	}
	a.stream = stream
	a.release = cancel
	if err := g.bind(a); err != nil {
		g.cancelAt(a)
		a.release()
		stream.Close()
		a.grant.Done(route.Canceled)
		return nil, err
	}
	return a, nil
}

// bind checks that an attempt runs at the software version of the generation's tokens, since
// those of two versions don't fit together. The version of the first attempt is set as the
// engine named it: a load report may be older than the engine's process.
func (g *Generation) bind(a *attempt) error {
	version := a.stream.Software()
	if version == a.source.Software {
		return nil
	}
	a.grant.SetSoftware(version)
	if a.source.Base > 0 || a.next > 0 {
		klog.InfoS("Engine runs another software version than the generation", "generation", g.id, "target", a.source.Target, "software", version, "bound", a.source.Software)
		return errors.Newf("the engine runs software version %q, the generation began at %q", version, a.source.Software)
	}
	a.source.Software = version
	a.source.Seq++
	g.setSource(a.source)
	return nil
}

func (g *Generation) observeResumeGap(gap time.Duration) {
	g.rec.mu.Lock()
	account, model := g.rec.state.Spec.Account, g.rec.state.Spec.Model
	g.rec.mu.Unlock()
	g.m.cfg.Observe.ResumeGap(account, model, gap)
}

type received struct {
	chunk target.Chunk
	err   error
}

// pump copies tokens from the attempt to the log until the attempt ends. Began is when
// output was last interrupted.
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
				g.recordConnectionLoss(a, a.standing())
				return causeClosed
			}
			took, finished, ok := g.appendChunk(a, r.chunk)
			if !ok {
				return causeClosed
			}
			if finished {
				g.m.cfg.Quarantine.RecordSuccess(g.fingerprint())
				return causeFinished
			}
			if took > 0 {
				now := time.Now()
				g.recordSettled(a)
				if last.Equal(began) && a.source.Base > 0 {
					g.observeResumeGap(now.Sub(began))
				}
				a.grant.Tokens(now.Sub(last))
				last = now
				limit.Reset(a.grant.StallLimit())
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

// appendChunk appends the new tokens of a chunk to the log and drops duplicates. A gap
// means that the stream is unusable; ok is then false.
func (g *Generation) appendChunk(a *attempt, c target.Chunk) (took int, finished, ok bool) {
	if c.PromptTokens != nil && a.source.Base == 0 {
		g.setPromptTokens(c.PromptTokens)
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
	complete := a.takeComplete(c.Finish != "")
	var final *Final
	if c.Finish != "" {
		final = &Final{Reason: c.Finish, PromptTokens: g.promptTokens()}
	}
	if len(complete) > 0 || final != nil {
		g.appendTokens(complete, final)
	}
	return len(fresh), final != nil, true
}

// takeComplete removes and returns the pending tokens up to the last one with text, so
// that the log never ends inside a character or a potential stop sequence.
func (a *attempt) takeComplete(all bool) []walnutramp.Token {
	end := len(a.pending)
	for !all && end > 0 && a.pending[end-1].Text == "" {
		end--
	}
	complete := a.pending[:end]
	a.pending = append([]walnutramp.Token(nil), a.pending[end:]...)
	return complete
}

func (g *Generation) promptTokens() int {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	if st := &g.rec.state; st.PromptTokens != nil {
		return len(st.PromptTokens)
	}
	return g.rec.state.Spec.PromptSize()
}

// retire closes an attempt and cancels it at the engine if nobody can use it any more.
func (g *Generation) retire(a *attempt, why cause) {
	a.release()
	a.stream.Close()
	a.grant.Done(result(why))
	if why == causeStalled || why == causeStopped && !g.ownedElsewhere() {
		g.cancelAt(a)
	}
}

// ownedElsewhere reports whether another node may own the generation now; its stream
// is then left running for that node.
func (g *Generation) ownedElsewhere() bool {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	return g.rec.owner != g || g.m.ctx.Err() != nil
}

func (g *Generation) cancelAt(a *attempt) {
	g.m.background(func() {
		if err := a.engine.Cancel(context.Background(), a.source.StreamID); err != nil {
			klog.V(2).InfoS("Failed to cancel engine stream", "generation", g.id, "target", a.source.Target, "err", err)
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
		return route.Canceled
	}
	return route.Failed
}
