package load

import (
	"html/template"
	"io"
)

// bar is one bar of a plot.
type bar struct {
	Label string
	Value float64
	Width float64 // percent of the longest bar
}

// plot is a bar chart.
type plot struct {
	Title string
	Unit  string
	Bars  []bar
}

func newPlot(title, unit string, results []*Result, value func(*Result) float64) plot {
	p := plot{Title: title, Unit: unit}
	widest := 0.0
	for _, r := range results {
		widest = max(widest, value(r))
	}
	for _, r := range results {
		b := bar{Label: r.Variant, Value: value(r)}
		if widest > 0 {
			b.Width = 100 * b.Value / widest
		}
		p.Bars = append(p.Bars, b)
	}
	return p
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>walnutramp load: {{.Report.Shape.Name}}</title>
<style>
body{font:15px/1.5 sans-serif;max-width:50em;margin:2em auto;padding:0 1em;color:#222}
h2{font-size:1.1em;margin:1.6em 0 .3em}
.row{display:flex;align-items:center;gap:.6em}
.row span:first-child{width:7em;text-align:right}
.bar{background:#2a6f97;height:1.1em}
.row span:last-child{font-variant-numeric:tabular-nums}
</style></head><body>
<h1>walnutramp load: {{.Report.Shape.Name}}</h1>
<p>{{.Report.Shape.Nodes}} nodes, {{.Report.Shape.Engines}} engines, {{.Report.Shape.Halls}} data halls; seed {{.Report.Mix.Seed}}, {{.Report.Mix.Duration}}, {{.Report.Mix.Drafts}} drafts a second, {{len .Report.Mix.Failures}} failures.</p>
{{range .Plots}}<h2>{{.Title}} ({{.Unit}})</h2>
{{range .Bars}}<div class="row"><span>{{.Label}}</span><div class="bar" style="width:{{printf "%.1f" .Width}}%;max-width:28em"></div><span>{{printf "%.1f" .Value}}</span></div>
{{end}}{{end}}</body></html>
`))

// WriteHTML writes a self-contained HTML page with bar charts of the results.
func WriteHTML(w io.Writer, r Report) error {
	rs := r.Results
	plots := []plot{
		newPlot("Resume gap, engine lost, p99", "ms", rs, func(r *Result) float64 { return r.EngineGap.P99 }),
		newPlot("Resume gap, connection lost, p99", "ms", rs, func(r *Result) float64 { return r.NodeGap.P99 }),
		newPlot("Time to first token, p95", "ms", rs, func(r *Result) float64 { return r.FirstToken.P95 }),
		newPlot("Time between tokens, p95", "ms", rs, func(r *Result) float64 { return r.BetweenTokens.P95 }),
		newPlot("Tokens decoded twice", "tokens", rs, func(r *Result) float64 { return float64(r.TwiceDecoded) }),
		newPlot("Bytes between nodes per 1,000 tokens", "bytes", rs, func(r *Result) float64 { return r.BytesPer1k }),
		newPlot("Guard's processor time per 1,000 tokens", "ms", rs, func(r *Result) float64 { return r.GuardCPU }),
	}
	return page.Execute(w, struct {
		Report Report
		Plots  []plot
	}{r, plots})
}
