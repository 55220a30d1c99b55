package load

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteText writes results as a text table with one column per variant.
func WriteText(w io.Writer, results []*Result) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, cell func(*Result) string) {
		fmt.Fprintf(t, "%s\t", name)
		for _, r := range results {
			fmt.Fprintf(t, "%s\t", cell(r))
		}
		fmt.Fprintln(t)
	}
	row("", func(r *Result) string { return r.Variant })
	row("drafts complete", func(r *Result) string { return fmt.Sprintf("%d/%d", r.Complete, r.Drafts) })
	row("restarts from zero", func(r *Result) string { return fmt.Sprint(r.Restarts) })
	row("tokens checked", func(r *Result) string { return fmt.Sprint(r.Verdict.Tokens) })
	row("missing/repeated/mixed", func(r *Result) string {
		return fmt.Sprintf("%d/%d/%d", r.Verdict.Missing, r.Verdict.Repeated, r.Verdict.Mixed)
	})
	quantiles := func(name string, f func(*Result) Figures) {
		row(name+" n", func(r *Result) string { return fmt.Sprint(f(r).Count) })
		row(name+" p50 ms", func(r *Result) string { return fmt.Sprintf("%.0f", f(r).P50) })
		row(name+" p95 ms", func(r *Result) string { return fmt.Sprintf("%.0f", f(r).P95) })
		row(name+" p99 ms", func(r *Result) string { return fmt.Sprintf("%.0f", f(r).P99) })
		row(name+" max ms", func(r *Result) string { return fmt.Sprintf("%.0f", f(r).Max) })
	}
	quantiles("resume gap, engine lost", func(r *Result) Figures { return r.EngineGap })
	quantiles("resume gap, connection lost", func(r *Result) Figures { return r.NodeGap })
	quantiles("first token", func(r *Result) Figures { return r.FirstToken })
	quantiles("between tokens", func(r *Result) Figures { return r.BetweenTokens })
	quantiles("lookup", func(r *Result) Figures { return r.Lookup })
	row("drafts within objectives", func(r *Result) string { return fmt.Sprintf("%d/%d", r.WithinObjectives, r.Drafts) })
	row("tokens/s within objectives", func(r *Result) string { return fmt.Sprintf("%.0f", r.Goodput) })
	row("worst account within objectives", func(r *Result) string { return fmt.Sprintf("%.0f%%", 100*r.WorstAccount) })
	row("prompt tokens found cached", func(r *Result) string { return fmt.Sprintf("%.0f%%", 100*r.CacheHits) })
	row("lookups failed", func(r *Result) string { return fmt.Sprint(r.LookupsFailed) })
	row("tokens decoded twice", func(r *Result) string { return fmt.Sprint(r.TwiceDecoded) })
	row("tokens prefilled again", func(r *Result) string { return fmt.Sprint(r.Recomputed) })
	row("peer bytes per 1,000 tokens", func(r *Result) string { return fmt.Sprintf("%.0f", r.BytesPer1k) })
	row("guard cpu ms per 1,000 tokens", func(r *Result) string { return fmt.Sprintf("%.2f", r.GuardCPU) })
	row("callers cpu ms per 1,000 tokens", func(r *Result) string { return fmt.Sprintf("%.2f", r.CallersCPU) })
	row("control cpu ms per second, all nodes", func(r *Result) string { return fmt.Sprintf("%.2f", r.ControlCPU) })
	row("guard share of the nodes' cpu", func(r *Result) string { return fmt.Sprintf("%.1f%%", 100*r.GuardShare) })
	t.Flush()
	for _, r := range results {
		if len(r.Refused) > 0 {
			fmt.Fprintf(w, "%s refused: %v\n", r.Variant, r.Refused)
		}
	}
}

// Report is the JSON output of the load tool.
type Report struct {
	Shape   Shape     `json:"shape"`
	Mix     Mix       `json:"mix"`
	Results []*Result `json:"results"`
}

// WriteJSON writes the report as a JSON object on one line.
func WriteJSON(w io.Writer, r Report) error { return json.NewEncoder(w).Encode(r) }
