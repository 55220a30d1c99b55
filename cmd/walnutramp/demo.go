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

// demoResult is the result of the demo.
type demoResult struct {
	Drafts          int     `json:"drafts"`
	Complete        int     `json:"complete"`
	Tokens          int     `json:"tokens"`
	Missing         int     `json:"missing"`
	Repeated        int     `json:"repeated"`
	Mixed           int     `json:"mixed"`
	ResumeGapMS     float64 `json:"resume_gap_ms"`   // longest gap in a stream when an engine crashes
	TakeoverGapMS   float64 `json:"takeover_gap_ms"` // longest gap in a stream when an entry node crashes
	Reconnects      int     `json:"reconnects"`
	LookupsAnswered int     `json:"lookups_answered"`
	PrefilledTokens int     `json:"prefilled_tokens"`
}

// Parameters of the demo.
const (
	demoDrafts = 6
	demoTokens = 200
	demoKillAt = 60 // tokens into the drafts at which the failure is injected
)

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	d := &demo{out: c.out}
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
	return result.check()
}

func (r *demoResult) check() error {
	if r.Complete != r.Drafts || r.Missing+r.Repeated+r.Mixed > 0 || r.LookupsAnswered == 0 {
		return errors.Newf("drafts incomplete or with wrong tokens, or no lookup answered: %+v", *r)
	}
	return nil
}

// demo runs the demo and prints its progress.
type demo struct {
	out    io.Writer
	site   *site.Site
	client *load.Client
	result demoResult
}

func (d *demo) printf(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

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
	d.printf("Started a site of %d entry nodes in %d data halls, %d engines and %d service.", len(d.site.Nodes), len(cfg.Halls), len(d.site.Engines), len(d.site.Services))
	d.lookup(ctx)
	d.printf("\n1. %d drafts of %d tokens are streaming; the engine with the most streams crashes at token %d.", demoDrafts, demoTokens, demoKillAt)
	d.result.ResumeGapMS = d.runDrafts(ctx, d.killEngine)
	d.printf("   longest pause any caller saw: %.0f ms", d.result.ResumeGapMS)
	d.printf("\n2. %d more drafts are streaming; one entry node crashes, its callers reconnect to others with Last-Event-ID.", demoDrafts)
	d.result.TakeoverGapMS = d.runDrafts(ctx, d.killNode)
	d.printf("   longest pause any caller saw: %.0f ms", d.result.TakeoverGapMS)
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

// runDrafts runs demoDrafts drafts, injects a failure, and returns the longest pause
// in milliseconds.
func (d *demo) runDrafts(ctx context.Context, fail func()) float64 {
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
		d.addResult(r)
		longest = max(longest, r.LongestGap())
	}
	return float64(longest.Microseconds()) / 1000
}

func (d *demo) addResult(r load.Drafted) {
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

// killEngine kills the engine that has started the most streams.
func (d *demo) killEngine() {
	busiest := slices.MaxFunc(d.site.Engines, func(a, b *site.Engine) int { return a.Counts().Streams - b.Counts().Streams })
	d.printf("   %s crashes with %d streams on it.", busiest.Target.Name, busiest.Counts().Streams)
	busiest.Kill()
}

func (d *demo) killNode() {
	n := d.site.Nodes[0]
	d.printf("   %s crashes.", n.Name)
	n.Kill()
}

func (d *demo) lookup(ctx context.Context) {
	last := len(d.site.Nodes) - 1
	answer, err := d.client.Call(ctx, load.Call{APIKey: site.KeyOf("clerks"), Method: "GET", Path: site.ServiceName + "/lookup/berth-7", First: last})
	if err != nil {
		d.printf("A lookup failed: %v", err)
		return
	}
	d.result.LookupsAnswered++
	d.printf("Response to a lookup at the plain service: %s", strings.TrimSpace(string(answer)))
}

func (d *demo) summary() {
	for _, e := range d.site.Engines {
		d.result.PrefilledTokens += e.Counts().Prefilled
	}
	r := d.result
	d.printf("\n%d of %d drafts completed, %d tokens checked: %d missing, %d repeated, %d mixed.",
		r.Complete, r.Drafts, r.Tokens, r.Missing, r.Repeated, r.Mixed)
	d.printf("%d reconnects; engines prefilled %d tokens in total, for new and resumed drafts.", r.Reconnects, r.PrefilledTokens)
}
