package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/internal/site"
	"github.com/walnutramp/walnutramp/load"
	"github.com/walnutramp/walnutramp/standin"
)

type demoCommand struct {
	*program
	JSON bool `long:"json" description:"end with one JSON object on the last line"`
}

// demoResult is what the demo found.
type demoResult struct {
	Drafts      int     `json:"drafts"`
	Complete    int     `json:"complete"`
	Tokens      int     `json:"tokens"`
	Missing     int     `json:"missing"`
	Repeated    int     `json:"repeated"`
	Mixed       int     `json:"mixed"`
	ResumeGapMS float64 `json:"resume_gap_ms"`   // longest silence after the engine died
	TakeoverGap float64 `json:"takeover_gap_ms"` // longest silence after the entry node died
	Reconnects  int     `json:"reconnects"`
	LookupsGood int     `json:"lookups_answered"`
	Prefilled   int     `json:"prefilled_tokens"`
}

// The demo's shape.
const (
	demoDrafts = 6
	demoTokens = 200
	demoKillAt = 60 // tokens into the drafts when the engine dies
)

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	d := &demo{story: c.out}
	result, err := d.run()
	if err != nil {
		return err
	}
	if c.JSON {
		line, err := json.Marshal(result)
		if err != nil {
			return err
		}
		fmt.Fprintln(c.out, string(line))
	}
	return result.broken()
}

func (r *demoResult) broken() error {
	if r.Complete != r.Drafts || r.Missing+r.Repeated+r.Mixed > 0 || r.LookupsGood == 0 {
		return errors.Newf("a promise broke: %+v", *r)
	}
	return nil
}

// demo tells its story while it runs.
type demo struct {
	story  io.Writer
	site   *site.Site
	client *load.Client
	result demoResult
}

func (d *demo) say(format string, args ...any) { fmt.Fprintf(d.story, format+"\n", args...) }

func (d *demo) run() (*demoResult, error) {
	cfg := site.Default()
	var err error
	if d.site, err = site.Start(cfg); err != nil {
		return nil, err
	}
	defer d.site.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := d.site.AwaitMembers(ctx); err != nil {
		return nil, err
	}
	d.client = load.NewClient(d.site.Transport(), d.addresses())
	d.say("A site of %d entry nodes in %d data halls, %d engines and %d service is up.", len(d.site.Nodes), len(cfg.Halls), len(d.site.Engines), len(d.site.Services))
	d.lookup(ctx)
	d.say("\n1. %d drafts of %d tokens stream; the engine with the most of them dies at token %d.", demoDrafts, demoTokens, demoKillAt)
	d.result.ResumeGapMS = d.drafts(ctx, d.killEngine)
	d.say("   longest pause any caller saw: %.0f ms", d.result.ResumeGapMS)
	d.say("\n2. %d more drafts stream; one entry node dies, its callers reconnect elsewhere with Last-Event-ID.", demoDrafts)
	d.result.TakeoverGap = d.drafts(ctx, d.killNode)
	d.say("   longest pause any caller saw: %.0f ms", d.result.TakeoverGap)
	d.lookup(ctx)
	d.summary()
	return &d.result, nil
}

func (d *demo) addresses() []string {
	var as []string
	for _, n := range d.site.Nodes {
		as = append(as, n.Callers)
	}
	return as
}

// drafts runs a round of drafts with a failure in it and returns the longest
// pause in milliseconds.
func (d *demo) drafts(ctx context.Context, fail func()) float64 {
	var wg sync.WaitGroup
	results := make([]load.Drafted, demoDrafts)
	for i := range results {
		wg.Go(func() {
			prompt := fmt.Sprintf("Harbour log, page %d. %s", i, strings.Repeat("Moored at dusk; wind north-east. ", 20))
			results[i] = d.client.Draft(ctx, load.Draft{
				APIKey: site.KeyOf("clerks"), Model: standin.DefaultEngineConfig().Model,
				Prompt: prompt, MaxTokens: demoTokens, First: i,
			})
		})
	}
	interval := standin.DefaultEngineConfig().TokenInterval
	time.Sleep(demoKillAt * interval)
	fail()
	wg.Wait()
	longest := time.Duration(0)
	for _, r := range results {
		d.count(r)
		longest = max(longest, r.LongestGap())
	}
	return float64(longest.Microseconds()) / 1000
}

func (d *demo) count(r load.Drafted) {
	d.result.Drafts++
	if r.Complete {
		d.result.Complete++
	}
	d.result.Tokens += r.Verdict.Tokens
	d.result.Missing += r.Verdict.Missing
	d.result.Repeated += r.Verdict.Repeated
	d.result.Mixed += r.Verdict.Mixed
	d.result.Reconnects += r.Reconnects
}

// killEngine ends the engine that has started the most streams.
func (d *demo) killEngine() {
	busiest := slices.MaxFunc(d.site.Engines, func(a, b *site.Engine) int { return a.Counts().Streams - b.Counts().Streams })
	d.say("   %s dies with %d streams on it.", busiest.Target.Name, busiest.Counts().Streams)
	busiest.Kill()
}

func (d *demo) killNode() {
	n := d.site.Nodes[0]
	d.say("   %s dies.", n.Name)
	n.Kill()
}

func (d *demo) lookup(ctx context.Context) {
	last := len(d.site.Nodes) - 1
	answer, err := d.client.Call(ctx, load.Call{APIKey: site.KeyOf("clerks"), Method: "GET", Path: site.ServiceName + "/lookup/berth-7", First: last})
	if err != nil {
		d.say("A lookup failed: %v", err)
		return
	}
	d.result.LookupsGood++
	d.say("A lookup at the plain service answers: %s", strings.TrimSpace(string(answer)))
}

func (d *demo) summary() {
	for _, e := range d.site.Engines {
		d.result.Prefilled += e.Counts().Prefilled
	}
	r := d.result
	d.say("\n%d of %d drafts complete, %d tokens checked one by one: %d missing, %d repeated, %d mixed.",
		r.Complete, r.Drafts, r.Tokens, r.Missing, r.Repeated, r.Mixed)
	d.say("%d reconnects; engines prefilled %d tokens in all, first prompts and resumes together.", r.Reconnects, r.Prefilled)
}
