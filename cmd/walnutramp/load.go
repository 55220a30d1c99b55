package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/load"
)

// drainTimeout is how long requests in flight may take after the last arrival.
const drainTimeout = 30 * time.Second

// loadCommand generates load on a site and reports the results.
type loadCommand struct {
	*program
	Routing  routingCommand  `command:"routing" description:"compare routing policies at several utilizations"`
	Capacity capacityCommand `command:"capacity" description:"measure how resource usage grows with the size of a site"`
	Scores   scoresCommand   `command:"scores" description:"show the scores of the measured days in the journal over time"`
	Shape    string          `long:"shape" env:"WALNUTRAMP_LOAD_SHAPE" default:"small" choice:"small" choice:"tortuguero" choice:"po-valley" description:"simulated site to run"`
	Seed     uint64          `long:"seed" env:"WALNUTRAMP_LOAD_SEED" default:"1" description:"random seed of the request mix and the failures"`
	Duration time.Duration   `long:"duration" env:"WALNUTRAMP_LOAD_DURATION" default:"20s" description:"how long new requests arrive"`
	Drafts   float64         `long:"drafts" env:"WALNUTRAMP_LOAD_DRAFTS" default:"10" description:"arrival rate of long generations per second"`
	Lookups  float64         `long:"lookups" env:"WALNUTRAMP_LOAD_LOOKUPS" default:"20" description:"arrival rate of service calls per second"`
	Output   int             `long:"output" env:"WALNUTRAMP_LOAD_OUTPUT" default:"150" description:"mean length of a draft in tokens"`
	Prompt   int             `long:"prompt" env:"WALNUTRAMP_LOAD_PROMPT" default:"300" description:"mean length of a prompt in tokens"`
	Failures string          `long:"failures" env:"WALNUTRAMP_LOAD_FAILURES" default:"kill-engine*3,stall-engine*2" description:"failure plan: comma-separated kind@time[+outage] or kind*n; kinds are kill-engine, stall-engine, reset-engine, kill-node, stop-node, kill-hall"`
	Variants string          `long:"variants" env:"WALNUTRAMP_LOAD_VARIANTS" default:"guarded,unguarded,from-zero" description:"comma-separated variants to compare"`
	JSON     bool            `long:"json" description:"end with one JSON object on the last line"`
	Profile  string          `long:"cpu-profile" description:"write a CPU profile of the last variant to this file"`
	Plot     string          `long:"plot" description:"write a self-contained HTML page with plots to this file"`
}

func newLoadCommand(p *program) *loadCommand {
	return &loadCommand{program: p, Capacity: capacityCommand{program: p}, Routing: routingCommand{program: p}, Scores: scoresCommand{program: p}}
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	runner, variants, err := c.newRunner()
	if err != nil {
		return err
	}
	limit := time.Duration(len(variants)) * (2*c.Duration + drainTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	results, err := runner.RunAll(ctx, variants)
	if runner.Progress != nil {
		fmt.Fprintln(runner.Progress)
	}
	if err != nil {
		return err
	}
	load.WriteText(c.out, results)
	report := load.Report{Shape: runner.Shape, Mix: runner.Mix, Results: results}
	if err := c.writeFiles(report); err != nil {
		return err
	}
	for _, r := range results {
		if r.Broken() {
			return errors.Newf("missing, repeated or mixed tokens in variant %s: %+v", r.Variant, r.Verdict)
		}
	}
	return nil
}

func (c *loadCommand) writeFiles(report load.Report) error {
	if c.Plot != "" {
		if err := writeFile(c.Plot, func(w io.Writer) error { return load.WriteHTML(w, report) }); err != nil {
			return err
		}
	}
	if c.JSON {
		return load.WriteJSON(c.out, report)
	}
	return nil
}

func (c *loadCommand) newRunner() (*load.Runner, []load.Variant, error) {
	shape, err := load.ShapeNamed(c.Shape)
	if err != nil {
		return nil, nil, err
	}
	mix := load.DefaultMix()
	mix.Seed, mix.Duration, mix.Drafts, mix.Lookups = c.Seed, c.Duration, c.Drafts, c.Lookups
	mix.OutputMean, mix.PromptMean = c.Output, c.Prompt
	if mix.Failures, err = load.ParsePlan(c.Failures, c.Duration); err != nil {
		return nil, nil, &settingError{"--failures", c.Failures, err.Error()}
	}
	variants, err := parseVariants(c.Variants)
	if err != nil {
		return nil, nil, err
	}
	runner := &load.Runner{Shape: shape, Mix: mix, Profile: c.Profile}
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		runner.Progress = os.Stderr
	}
	return runner, variants, nil
}

func parseVariants(names string) ([]load.Variant, error) {
	all := load.Baselines()
	var variants []load.Variant
	for name := range strings.SplitSeq(names, ",") {
		found := false
		for _, v := range all {
			if v.Name == name {
				variants = append(variants, v)
				found = true
			}
		}
		if !found {
			return nil, &settingError{"--variants", name, "a list of guarded, unguarded, from-zero"}
		}
	}
	return variants, nil
}
