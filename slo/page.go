package slo

import (
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"
	"time"
)

// burnColumn is the cell of one window.
type burnColumn struct {
	Burn  float64
	Good  uint64
	Total uint64
	Width float64 // percent of the widest bar
}

type row struct {
	Series
	Columns []burnColumn
}

// fullBarBurn is the burn rate at which a bar reaches its full width.
const fullBarBurn = 10

func rows(report []Series) []row {
	var rs []row
	for _, s := range report {
		r := row{Series: s}
		for i := range Windows {
			burn := s.Burn(i)
			r.Columns = append(r.Columns, burnColumn{
				Burn: burn, Good: s.Counts[i].Good, Total: s.Counts[i].Total, Width: 100 * min(burn/fullBarBurn, 1),
			})
		}
		rs = append(rs, r)
	}
	return rs
}

// WriteText prints a report as a table with the burn rate and the counts of good and
// total events for each window.
func WriteText(w io.Writer, report []Series) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "objective\tbound\taccount\tmodel")
	for _, window := range Windows {
		fmt.Fprintf(t, "\tburn %s", formatSpan(window.Span))
	}
	fmt.Fprintln(t)
	for _, r := range rows(report) {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s", r.Objective, r.Kind, r.Account, r.Model)
		for _, c := range r.Columns {
			fmt.Fprintf(t, "\t%.2f (%d/%d)", c.Burn, c.Good, c.Total)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

func formatSpan(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%dh", int(d.Hours()))
	}
	return fmt.Sprintf("%dm", int(d.Minutes()))
}

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{"short": formatSpan}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:15px/1.5 sans-serif;margin:2em;color:#222}
table{border-collapse:collapse}
th,td{padding:.25em .8em;text-align:left;border-bottom:1px solid #ddd}
.bar{height:.6em;background:#2a6f97;min-width:1px}
.over .bar{background:#b3261e}
td span{font-variant-numeric:tabular-nums}
</style></head><body>
<h1>Service-level burn</h1>
<p>A burn rate of 1 uses up exactly the error budget of the objective; above 1, the budget is exhausted before the window ends. As of {{.At}}.</p>
<table><tr><th>objective</th><th>bound</th><th>account</th><th>model</th>{{range .Windows}}<th>{{short .Span}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Objective}}</td><td>{{.Kind}}</td><td>{{.Account}}</td><td>{{.Model}}</td>
{{range .Columns}}<td class="{{if gt .Burn 1.0}}over{{end}}"><span>{{printf "%.2f" .Burn}}</span> <small>{{.Good}}/{{.Total}}</small><div class="bar" style="width:{{printf "%.0f" .Width}}%"></div></td>{{end}}</tr>
{{end}}</table></body></html>
`))

// WriteHTML writes a report as a self-contained HTML page.
func WriteHTML(w io.Writer, report []Series, at time.Time) error {
	return pageTemplate.Execute(w, struct {
		At      string
		Windows []Window
		Rows    []row
	}{at.UTC().Format(time.RFC3339), Windows, rows(report)})
}
