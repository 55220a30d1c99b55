package main

import (
	"fmt"
	"io"
	"slices"

	"github.com/walnutramp/walnutramp/rollout"
	"github.com/walnutramp/walnutramp/rollout/experiment"
)

// experimentCommand simulates policies in virtual time.
type experimentCommand struct {
	*program
	Rollouts rolloutsCommand `command:"rollouts" description:"simulate roll-outs of good and bad versions, and count false rollbacks, missed bad versions and violated limits"`
}

func newExperimentCommand(p *program) *experimentCommand {
	return &experimentCommand{program: p, Rollouts: rolloutsCommand{program: p}}
}

type rolloutsCommand struct {
	*program
	Plays    int       `long:"plays" default:"200" description:"number of simulated roll-outs of each kind of version"`
	Seed     uint64    `long:"seed" default:"1" description:"random seed of the first roll-out; the others use the following numbers"`
	Sites    []string  `long:"site" description:"simulated site; can be repeated, default is all sites"`
	Policies []string  `long:"policy" default:"change-point" choice:"change-point" choice:"likelihood" choice:"threshold" description:"how answers are evaluated"`
	Fails    []float64 `long:"fails" default:"0.3" default:"0.1" description:"share of requests that a bad version fails; can be repeated"`
	Slow     float64   `long:"slow" default:"3" description:"latency factor of slow versions"`
	Plot     string    `long:"plot" description:"file for an SVG plot of the missed versions; none if empty"`
}

// Execute implements flags.Commander.
func (c *rolloutsCommand) Execute([]string) error {
	sites, err := c.sites()
	if err != nil {
		return err
	}
	var rows []experiment.Row
	for _, site := range sites {
		for _, policy := range c.Policies {
			for _, v := range c.versions() {
				rows = append(rows, experiment.Measure(site, v, experiment.Faults{Crashes: true, Grey: true}, rollout.Policy(policy), c.Plays, c.Seed))
			}
		}
	}
	if err := experiment.WriteTable(c.out, rows); err != nil || c.Plot == "" {
		return err
	}
	return writeFile(c.Plot, func(w io.Writer) error { return experiment.WritePlot(w, rows) })
}

// sites returns the simulated sites.
func (c *rolloutsCommand) sites() ([]experiment.Site, error) {
	all := experiment.Sites()
	if len(c.Sites) == 0 {
		return all, nil
	}
	var names []string
	for _, s := range all {
		names = append(names, s.Name)
	}
	for _, name := range c.Sites {
		if !slices.Contains(names, name) {
			return nil, &settingError{"--site", name, fmt.Sprint(names)}
		}
	}
	return slices.DeleteFunc(all, func(s experiment.Site) bool { return !slices.Contains(c.Sites, s.Name) }), nil
}

// versions returns a good version, and bad ones for each kind of defect.
func (c *rolloutsCommand) versions() []experiment.Version {
	versions := []experiment.Version{{}}
	for _, when := range experiment.FailureConditions() {
		for _, fails := range c.Fails {
			versions = append(versions, experiment.Version{Fails: fails, When: when})
		}
		if c.Slow > 1 {
			versions = append(versions, experiment.Version{Slow: c.Slow, When: when})
		}
	}
	return versions
}
