package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/generation"
)

func (h *Handler) serveCompletion(w http.ResponseWriter, r *http.Request, a bundle.Account) {
	h.serveGeneration(w, r, a, false)
}

func (h *Handler) serveChat(w http.ResponseWriter, r *http.Request, a bundle.Account) {
	h.serveGeneration(w, r, a, true)
}

// serveGeneration serves a request that opens a generation or, with Last-Event-ID, resumes
// one.
func (h *Handler) serveGeneration(w http.ResponseWriter, r *http.Request, account bundle.Account, chat bool) {
	p, continued, refusal := lastPosition(r)
	if refusal != nil {
		h.writeError(w, refusal)
		return
	}
	body, refusal := h.readBody(w, r)
	if refusal != nil {
		h.writeError(w, refusal)
		return
	}
	if continued {
		h.continueAt(w, r, account, p, includesUsage(body))
		return
	}
	began := time.Now()
	req, refusal := h.parse(body, r.Header.Get(headerKey), account, chat)
	if refusal != nil {
		h.writeError(w, refusal)
		return
	}
	g, err := h.open(r.Context(), req)
	if err != nil {
		h.writeError(w, walnutramp.AsError(err))
		return
	}
	defer g.Follow()()
	v := &responder{h: h, w: w, r: r, g: g, began: began, includeUsage: req.includeUsage}
	if req.stream {
		v.sendStream(0)
		return
	}
	v.sendWhole()
}

// open starts a generation, or returns the one that the request's key opened before, even
// if the node is stopping.
func (h *Handler) open(ctx context.Context, req *generationRequest) (*generation.Generation, error) {
	if req.spec.Key != "" {
		g, err := h.cfg.Generations.ByKey(ctx, req.spec.Account, req.spec.Key)
		if err != nil {
			return nil, err
		}
		if g != nil && g.BodyDigest() != req.spec.BodyDigest {
			return nil, walnutramp.NewError(walnutramp.CodeKeyReused, walnutramp.NotRun, "the key was used with another body")
		}
		if g != nil && g.Chat() != req.spec.Chat {
			return nil, walnutramp.NewError(walnutramp.CodeKeyReused, walnutramp.NotRun, "the key was used at another endpoint")
		}
		if g != nil {
			return g, nil
		}
	}
	if h.cfg.Stopping() {
		return nil, walnutramp.NewError(walnutramp.CodeStopping, walnutramp.NotRun, "this node is stopping").WithRetryAfter(time.Second)
	}
	if held := h.cfg.Quarantine.CheckNew(req.spec.Content); held != nil {
		return nil, held
	}
	return h.cfg.Generations.Open(ctx, req.spec)
}

// serveContinue streams a generation from Last-Event-ID, or from its start.
func (h *Handler) serveContinue(w http.ResponseWriter, r *http.Request, account bundle.Account) {
	p, given, refusal := lastPosition(r)
	id := r.PathValue("id")
	if !given && refusal == nil {
		var err error
		if p, err = walnutramp.ParsePosition(id + ":0"); err != nil {
			refusal = walnutramp.NewError(walnutramp.CodeBadPosition, walnutramp.NotRun, "%v", err)
		}
	}
	if refusal == nil && string(p.Generation) != id {
		refusal = walnutramp.NewError(walnutramp.CodeBadPosition, walnutramp.NotRun, "Last-Event-ID names another generation")
	}
	if refusal != nil {
		h.writeError(w, refusal)
		return
	}
	h.continueAt(w, r, account, p, r.URL.Query().Get("include_usage") == "true")
}

func (h *Handler) continueAt(w http.ResponseWriter, r *http.Request, account bundle.Account, p walnutramp.Position, usage bool) {
	g, err := h.cfg.Generations.Continue(r.Context(), p)
	if err != nil {
		h.writeError(w, walnutramp.AsError(err))
		return
	}
	if g.Account() != account.Name {
		h.writeError(w, walnutramp.NewError(walnutramp.CodeGenerationUnknown, walnutramp.Unknown, "no reachable node holds the generation"))
		return
	}
	defer g.Follow()()
	v := &responder{h: h, w: w, r: r, g: g, began: time.Now(), includeUsage: usage, continued: p.Offset > 0}
	v.sendStream(p.Offset)
}

func includesUsage(body []byte) bool {
	return strings.Contains(string(body), "include_usage")
}

// responder sends one generation to one caller.
type responder struct {
	h            *Handler
	w            http.ResponseWriter
	r            *http.Request
	g            *generation.Generation
	began        time.Time
	includeUsage bool
	continued    bool // the caller has received tokens before
}

// sendStream sends server-sent events from an offset on.
func (v *responder) sendStream(from walnutramp.Offset) {
	out := newEventWriter(v.w, v.g)
	last := v.began
	first := !v.continued
	for {
		b, err := v.g.Next(v.r.Context(), from)
		if err != nil {
			v.failStream(out, err)
			return
		}
		now := time.Now()
		v.observe(now.Sub(last), b.Tokens, first)
		last, first = now, first && b.Tokens == 0
		from = b.To
		if out.batch(b) != nil {
			return
		}
		if b.Final != nil {
			out.end(b, v.includeUsage)
			v.h.cfg.Observe.Answered(walnutramp.CodeOK)
			return
		}
	}
}

func (v *responder) observe(d time.Duration, tokens int, first bool) {
	if tokens == 0 {
		return
	}
	if first {
		v.h.cfg.Observe.FirstToken(v.g.Account(), v.g.Model(), d)
		return
	}
	v.h.cfg.Observe.TokenGap(v.g.Account(), v.g.Model(), d, tokens)
}

func (v *responder) failStream(out *eventWriter, err error) {
	if v.r.Context().Err() != nil {
		return
	}
	e := walnutramp.AsError(err)
	if !out.started {
		v.h.writeError(v.w, e)
		return
	}
	v.h.cfg.Observe.Answered(e.Code)
	v.h.cfg.Observe.Failed(v.g.Account(), v.g.Model())
	out.fail(e)
}

// sendWhole collects the generation and sends it as one JSON object.
func (v *responder) sendWhole() {
	var text strings.Builder
	from := walnutramp.Offset(0)
	last := v.began
	for {
		b, err := v.g.Next(v.r.Context(), from)
		if err != nil {
			if v.r.Context().Err() == nil {
				v.h.writeError(v.w, walnutramp.AsError(err))
			}
			return
		}
		now := time.Now()
		v.observe(now.Sub(last), b.Tokens, from == 0)
		last = now
		text.WriteString(b.Text)
		from = b.To
		if b.Final != nil {
			writeCompletion(v.w, v.g, text.String(), b)
			v.h.cfg.Observe.Answered(walnutramp.CodeOK)
			return
		}
	}
}
