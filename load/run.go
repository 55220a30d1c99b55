package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/generation"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/site"
	"github.com/walnutramp/walnutramp/node"
	"github.com/walnutramp/walnutramp/standin"
)

// Variant is a configuration to run a mix with.
type Variant struct {
	Name     string
	Guard    *bundle.Guard // replaces the shape's; nil keeps it
	FromZero bool          // the client restarts broken drafts instead of resuming them
	NodeOpt  []node.Option
}

// Baselines returns the default variant and two to compare it with: generations
// without replicas, and clients that restart broken drafts from the beginning.
func Baselines() []Variant {
	return []Variant{
		{Name: "guarded"},
		{Name: "unguarded", Guard: &bundle.Guard{Replicas: 1}},
		{Name: "from-zero", Guard: &bundle.Guard{Replicas: 1}, FromZero: true,
			NodeOpt: []node.Option{node.WithGenerationOptions(generation.WithoutResumers())}},
	}
}

// Runner runs variants on a site of one shape.
type Runner struct {
	Shape    Shape
	Mix      Mix
	Attempts int       // connection attempts per draft; 0 for the client's default
	Progress io.Writer // progress output; nil for none
	Profile  string    // file for the CPU profile of the last variant; empty for none
}

// run is the state of a running variant.
type run struct {
	runner  *Runner
	variant Variant
	site    *site.Site
	client  *Client
	rng     *rand.Rand

	mu       sync.Mutex
	resumes  map[walnutramp.GenerationID][]node.Resume
	result   Result
	drafts   []Drafted
	accounts []accountResult // indexed by account

	lookup   *histogram
	started  time.Time
	inFlight atomic.Int64
	finished atomic.Int64
}

// Run runs one variant and returns its results.
func (r *Runner) Run(ctx context.Context, v Variant) (*Result, error) {
	u := &run{runner: r, variant: v, rng: rand.New(rand.NewPCG(r.Mix.Seed, 4)),
		resumes: map[walnutramp.GenerationID][]node.Resume{}, lookup: newHistogram()}
	u.result = Result{Variant: v.Name, Refused: map[string]int{}}
	u.accounts = make([]accountResult, r.Shape.Accounts)
	if err := u.start(ctx); err != nil {
		return nil, err
	}
	defer u.site.Close()
	profile, err := startProfile(u.runner.Profile)
	if err != nil {
		return nil, err
	}
	traffic := u.peerBytes()
	u.started = time.Now()
	u.sendAll(ctx)
	u.result.Seconds = time.Since(u.started).Seconds()
	cpu, err := profile.stop()
	if err != nil {
		return nil, err
	}
	u.result.PeerBytes = u.peerBytes() - traffic
	u.summarise(cpu)
	return &u.result, nil
}

func (u *run) start(ctx context.Context) error {
	cfg := u.runner.Shape.siteConfig(u.runner.Mix.Seed)
	if u.variant.Guard != nil {
		cfg.Guard = *u.variant.Guard
	}
	cfg.NodeOpt = append(cfg.NodeOpt, u.variant.NodeOpt...)
	cfg.NodeOpt = append(cfg.NodeOpt, node.WithOnResume(u.recordResume))
	var err error
	if u.site, err = site.Start(cfg); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	if err := u.site.AwaitMembers(ctx); err != nil {
		u.site.Close()
		return err
	}
	var addresses []string
	for _, n := range u.site.Nodes {
		addresses = append(addresses, n.Callers)
	}
	var rt http.RoundTripper = u.site.Transport()
	u.client = NewClient(rt, addresses)
	u.client.FromZero = u.variant.FromZero
	if u.runner.Attempts > 0 {
		u.client.Attempts = u.runner.Attempts
	}
	return nil
}

func (u *run) recordResume(r node.Resume) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.resumes[r.Generation] = append(u.resumes[r.Generation], r)
}

// peerBytes returns the bytes that all nodes have sent to each other since the start
// of the site.
func (u *run) peerBytes() int64 {
	var sum int64
	for _, n := range u.site.Nodes {
		sum += n.SentBefore + n.Traffic().Sent.Load()
	}
	return sum
}

// sendAll sends the planned requests and waits until all have ended.
func (u *run) sendAll(ctx context.Context) {
	progress, stop := context.WithCancel(ctx)
	go u.showProgress(progress)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { u.injectFailures(ctx) })
	for i, a := range u.runner.Mix.arrivals(u.runner.Shape) {
		if !pause.For(ctx, time.Until(u.started.Add(a.at))) {
			break
		}
		wg.Go(func() { u.send(ctx, i, a) })
	}
	wg.Wait()
}

func (u *run) send(ctx context.Context, n int, a arrival) {
	u.inFlight.Add(1)
	defer u.inFlight.Add(-1)
	defer u.finished.Add(1)
	key := site.KeyOf(u.runner.Shape.accountName(a.account))
	if a.lookup {
		u.sendLookup(ctx, key, n, a)
		return
	}
	d := u.client.Draft(ctx, Draft{
		APIKey: key, Model: standin.DefaultEngineConfig().Model, Prompt: a.prompt, MaxTokens: a.output, First: a.node,
	})
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drafts = append(u.drafts, d)
	u.accounts[a.account].add(&d)
}

// sendLookup calls the plain service. It tries up to three nodes.
func (u *run) sendLookup(ctx context.Context, key string, n int, a arrival) {
	start := time.Now()
	var err error
	for try := range 3 {
		path := fmt.Sprintf("%s/lookup/%d", site.ServiceName, n)
		if _, err = u.client.Call(ctx, Call{APIKey: key, Method: http.MethodGet, Path: path, First: a.node + try}); err == nil {
			break
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		u.result.LookupsFailed++
		return
	}
	u.lookup.add(time.Since(start))
}

// showProgress prints a progress line every second.
func (u *run) showProgress(ctx context.Context) {
	for u.runner.Progress != nil && pause.For(ctx, time.Second) {
		fmt.Fprintf(u.runner.Progress, "\r%-10s %4.0fs  open %4d  done %6d ", u.variant.Name, time.Since(u.started).Seconds(), u.inFlight.Load(), u.finished.Load())
	}
}

// injectFailures executes the failure plan.
func (u *run) injectFailures(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, f := range u.runner.Mix.Failures {
		if !pause.For(ctx, time.Until(u.started.Add(f.At))) {
			return
		}
		draw := u.rng.Uint64()
		wg.Go(func() { u.injectFailure(ctx, f, draw) })
	}
}

func (u *run) injectFailure(ctx context.Context, f Failure, draw uint64) {
	engine := u.site.Engines[draw%uint64(len(u.site.Engines))]
	n := u.site.Nodes[draw%uint64(len(u.site.Nodes))]
	switch f.Kind {
	case KillEngine:
		u.outage(ctx, f.For, engine.Kill, engine.Start)
	case StallEngine:
		engine.SetFault(standin.Fault{Kind: standin.FaultStall, For: f.For})
	case ResetEngine:
		engine.SetFault(standin.Fault{Kind: standin.FaultReset, AtToken: 50})
	case KillNode:
		u.outage(ctx, f.For, n.Kill, n.Start)
	case StopNode:
		u.outage(ctx, f.For, func() { n.Stop(ctx) }, n.Start)
	case KillHall:
		u.injectHallFailure(ctx, f, u.site.Engines[draw%uint64(len(u.site.Engines))].Target.DataHall)
	}
}

func (u *run) injectHallFailure(ctx context.Context, f Failure, hall walnutramp.DataHall) {
	var wg sync.WaitGroup
	for _, e := range u.site.Engines {
		if e.Target.DataHall == hall {
			wg.Go(func() { u.outage(ctx, f.For, e.Kill, e.Start) })
		}
	}
	wg.Wait()
}

// outage stops a component and restarts it after d.
func (u *run) outage(ctx context.Context, d time.Duration, stop func(), restart func() error) {
	stop()
	pause.For(ctx, d)
	if err := restart(); err != nil {
		fmt.Fprintln(u.progress(), "restart after injected failure:", err)
	}
}

func (u *run) progress() io.Writer {
	if u.runner.Progress == nil {
		return io.Discard
	}
	return u.runner.Progress
}

// summarise computes the result from the drafts and the CPU time by subsystem.
func (u *run) summarise(cpu map[string]time.Duration) {
	res := &u.result
	all, engine, nodes := newHistogram(), newHistogram(), newHistogram()
	first, between := newHistogram(), newHistogram()
	for i := range u.drafts {
		d := &u.drafts[i]
		res.addDraft(d)
		if d.FirstToken > 0 {
			first.add(d.FirstToken)
		}
		u.addGaps(d, all, engine, nodes)
		for j := 1; j < len(d.Arrivals); j++ {
			between.add(d.Arrivals[j].Sub(d.Arrivals[j-1]))
		}
	}
	res.ResumeGap, res.EngineGap, res.NodeGap = all.figures(), engine.figures(), nodes.figures()
	res.FirstToken, res.BetweenTokens, res.Lookup = first.figures(), between.figures(), u.lookup.figures()
	for _, e := range u.site.Engines {
		res.Decoded += e.DecodedBefore + e.Counts().Decoded
	}
	res.TwiceDecoded = max(res.Decoded-res.Verdict.Tokens, 0)
	for _, rs := range u.resumes {
		for _, r := range rs {
			res.Recomputed += r.Recomputed
		}
	}
	u.addGoodput()
	res.addCosts(cpu)
}

// accountResult is the goodput of one client account.
type accountResult struct {
	drafts int
	good   int // within objectives
	tokens int // of good drafts
}

// Service level objectives of a draft.
const (
	maxFirstToken  = 410 * time.Millisecond
	maxTokenGapP95 = 78 * time.Millisecond
)

func (s *accountResult) add(d *Drafted) {
	s.drafts++
	if d.Complete && d.FirstToken <= maxFirstToken && d.tokenGapP95() <= maxTokenGapP95 {
		s.good++
		s.tokens += d.Verdict.Tokens
	}
}

// tokenGapP95 returns the 95th percentile of the time between arrivals of new text.
func (d *Drafted) tokenGapP95() time.Duration {
	var gaps []time.Duration
	for i := 1; i < len(d.Arrivals); i++ {
		gaps = append(gaps, d.Arrivals[i].Sub(d.Arrivals[i-1]))
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[len(gaps)*95/100]
}

// addGoodput computes what was served within the objectives, and the share of prompt
// tokens found cached.
func (u *run) addGoodput() {
	res := &u.result
	res.WorstAccount = 1
	tokens := 0
	for _, a := range u.accounts {
		res.WithinObjectives += a.good
		tokens += a.tokens
		if a.drafts > 0 {
			res.WorstAccount = min(res.WorstAccount, float64(a.good)/float64(a.drafts))
		}
	}
	res.Goodput = float64(tokens) / u.runner.Mix.Duration.Seconds()
	hits, computed := 0, 0
	for _, e := range u.site.Engines {
		hits += e.Counts().CacheHits
		computed += e.Counts().Prefilled
	}
	if hits+computed > 0 {
		res.CacheHits = float64(hits) / float64(hits+computed)
	}
}

// addDraft counts a draft and why it is incomplete, if it is.
func (r *Result) addDraft(d *Drafted) {
	r.Drafts++
	r.Verdict.Add(d.Verdict)
	r.Reconnects += d.Reconnects
	r.Restarts += d.Restarts
	if d.Complete {
		r.Complete++
	} else if d.Refused != nil {
		r.Refused[fmt.Sprintf("%d %s", d.Refused.Code, d.Refused.Outcome)]++
	} else {
		r.Refused["no answer"]++
	}
}

// addGaps records the gaps between arrivals during which the draft was resumed, by a
// node or by a reconnect of the client. Each gap counts once.
func (u *run) addGaps(d *Drafted, all, engine, nodes *histogram) {
	seen := map[time.Duration]bool{}
	for _, t := range d.Moves {
		if gap, ok := d.GapAt(t); ok && !seen[gap] {
			seen[gap] = true
			all.add(gap)
			nodes.add(gap)
		}
	}
	for _, r := range u.resumes[d.ID] {
		if gap, ok := d.GapAt(r.At); ok && !seen[gap] {
			seen[gap] = true
			all.add(gap)
			engine.add(gap)
		}
	}
}

// addCosts computes the costs per 1,000 tokens from the CPU time by subsystem.
func (r *Result) addCosts(cpu map[string]time.Duration) {
	thousands := float64(r.Verdict.Tokens) / 1000
	if thousands == 0 {
		return
	}
	ms := func(part string) float64 { return float64(cpu[part].Microseconds()) / 1000 }
	r.BytesPer1k = float64(r.PeerBytes) / thousands
	r.GuardCPU = ms("guard") / thousands
	r.CallersCPU = ms("callers") / thousands
	r.ControlCPU = ms("control") / r.Seconds
	if sum := ms("guard") + ms("callers") + ms("control"); sum > 0 {
		r.GuardShare = ms("guard") / sum
	}
}

// RunAll runs variants one after the other. On an error it also returns the results
// so far.
func (r *Runner) RunAll(ctx context.Context, variants []Variant) ([]*Result, error) {
	var results []*Result
	for _, v := range variants {
		res, err := r.Run(ctx, v)
		if err != nil {
			return results, errors.Wrapf(err, "variant %s", v.Name)
		}
		results = append(results, res)
	}
	return results, nil
}
