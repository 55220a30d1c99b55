package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/load"
)

type capacityCommand struct {
	*program
	Duration time.Duration `long:"duration" default:"5s" description:"duration of each measurement"`
	Members  []int         `long:"members" default:"12" default:"25" default:"50" default:"100" description:"numbers of nodes to measure with"`
	Targets  []int         `long:"targets" default:"4" default:"50" default:"100" default:"200" description:"numbers of targets to measure with"`
	Changes  []int         `long:"changes" default:"0" default:"1" default:"4" default:"10" description:"bundle changes per second to measure with"`
	Data     string        `long:"data" description:"file to write the result to, or with --page to read it from"`
	Page     string        `long:"page" description:"measure nothing; update the tables of this Markdown page from --data"`
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	if c.Page != "" {
		return c.writePage()
	}
	meter := &load.Meter{Duration: c.Duration, Members: c.Members, Targets: c.Targets, Changes: c.Changes, Progress: os.Stderr}
	result, err := meter.Run(context.Background())
	if err != nil {
		return err
	}
	result.WriteTable(c.out)
	if c.Data == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.Data, append(encoded, '\n'), 0o644)
}

// Markers around the generated tables of a page.
const (
	tablesBegin = "<!-- tables: begin -->\n"
	tablesEnd   = "<!-- tables: end -->\n"
)

func (c *capacityCommand) writePage() error {
	encoded, err := os.ReadFile(c.Data)
	if err != nil {
		return &settingError{"--data", c.Data, "a file written by 'load capacity --data'"}
	}
	var result load.Capacity
	if err := json.Unmarshal(encoded, &result); err != nil {
		return &settingError{"--data", c.Data, "a file written by 'load capacity --data'"}
	}
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return err
	}
	before, rest, ok := bytes.Cut(page, []byte(tablesBegin))
	_, after, ok2 := bytes.Cut(rest, []byte(tablesEnd))
	if !ok || !ok2 {
		return errors.Newf("%s has no markers for the tables", c.Page)
	}
	var tables bytes.Buffer
	result.WriteTable(&tables)
	tables.WriteByte('\n')
	result.WritePredictions(&tables, load.Target())
	out := append([]byte{}, before...)
	out = append(out, tablesBegin...)
	out = append(out, tables.Bytes()...)
	out = append(out, tablesEnd...)
	return os.WriteFile(c.Page, append(out, after...), 0o644)
}
