package main

import (
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"
	"github.com/walnutramp/walnutramp/slo"
)

type reportCommand struct {
	*program
	Nodes []string `long:"node" env:"WALNUTRAMP_REPORT_NODES" env-delim:"," default:"127.0.0.1:8080" description:"numeric IP:port of a node, as callers reach it; repeat for all nodes to add up their counts"`
	JSON  bool     `long:"json" description:"print JSON"`
	HTML  string   `long:"html" description:"write a self-contained HTML page to this file"`
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	var reports [][]slo.Series
	for _, n := range c.Nodes {
		if err := checkAddress("--node", n); err != nil {
			return err
		}
		report, err := fetchReport(n)
		if err != nil {
			return errors.Wrapf(err, "node %s", n)
		}
		reports = append(reports, report)
	}
	merged := slo.Merge(reports...)
	if c.HTML != "" {
		if err := writeReportPage(c.HTML, merged); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(c.out).Encode(merged)
	}
	return slo.WriteText(c.out, merged)
}

func fetchReport(address string) ([]slo.Series, error) {
	var report []slo.Series
	client := resty.New().SetTimeout(operatorTimeout)
	resp, err := client.R().SetResult(&report).Get("http://" + address + "/report")
	if err == nil && resp.IsError() {
		err = errors.Newf("status %d", resp.StatusCode())
	}
	return report, err
}

func writeReportPage(file string, report []slo.Series) error {
	return writeFile(file, func(w io.Writer) error { return slo.WriteHTML(w, report, time.Now()) })
}
