package main

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp/load"
)

type routingCommand struct {
	*program
	Shape    string        `long:"shape" default:"tortuguero" choice:"small" choice:"tortuguero" choice:"po-valley" description:"simulated site to run"`
	Seed     uint64        `long:"seed" default:"1" description:"random seed of the request mix and the failures"`
	Duration time.Duration `long:"duration" default:"12s" description:"how long new requests arrive"`
	Shares   []float64     `long:"share" default:"0.5" default:"0.9" default:"1.3" description:"load as a share of the engines' capacity; can be repeated"`
	Policies []string      `long:"policy" default:"predicted" default:"least-reported" default:"round-robin" default:"random" choice:"predicted" choice:"least-reported" choice:"round-robin" choice:"random" description:"routing policy to compare; can be repeated"`
	Slots    int           `long:"slots" default:"0" description:"concurrent requests per engine; 0 for the stand-in's default"`
	Patience time.Duration `long:"patience" default:"0" description:"maximum queueing time of a request, as in a bundle's admission settings"`
	Failures string        `long:"failures" default:"" description:"failure plan, as for load"`
	JSON     bool          `long:"json" description:"end with one JSON object on the last line"`
}

// routingMaxAttempts limits the attempts of a rejected draft.
const routingMaxAttempts = 2

// Execute implements flags.Commander.
func (c *routingCommand) Execute([]string) error {
	shape, err := load.ShapeNamed(c.Shape)
	if err != nil {
		return err
	}
	shape.Patience, shape.Slots = c.Patience, c.Slots
	mix := load.DefaultMix()
	mix.Seed, mix.Duration = c.Seed, c.Duration
	if mix.Failures, err = load.ParsePlan(c.Failures, c.Duration); err != nil {
		return &settingError{"--failures", c.Failures, err.Error()}
	}
	runner := &load.Runner{Shape: shape, Mix: mix, Attempts: routingMaxAttempts}
	results, err := runner.RunRouting(context.Background(), c.Shares, c.Policies)
	if err != nil {
		return err
	}
	load.WriteText(c.out, results)
	if c.JSON {
		return load.WriteJSON(c.out, load.Report{Shape: shape, Mix: mix, Results: results})
	}
	return nil
}
