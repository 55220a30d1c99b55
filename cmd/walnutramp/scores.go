package main

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/scores"
)

type scoresCommand struct {
	*program
	Journal string `long:"journal" env:"WALNUTRAMP_JOURNAL" default:"journal" description:"directory of the journal of measured days"`
	Plot    string `long:"plot" env:"WALNUTRAMP_PLOT" description:"file for an SVG plot; none if empty"`
}

// Execute implements flags.Commander.
func (c *scoresCommand) Execute([]string) error {
	sites, err := scores.Read(c.Journal)
	if err != nil {
		return err
	}
	if len(sites) == 0 {
		return errors.Newf("no scores found in %s", c.Journal)
	}
	if err := scores.WriteTable(c.out, sites); err != nil || c.Plot == "" {
		return err
	}
	return writeFile(c.Plot, func(w io.Writer) error { return scores.WritePlot(w, sites) })
}

// writeFile creates a file with the output of write.
func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}
