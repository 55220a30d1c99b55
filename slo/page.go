package slo

import (
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"
	"time"
)

// burnColumn is one window of a row.
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

// fullBar is the burn at which a bar is as wide as it gets.
const fullBar = 10

func rows(report []Series) []row {
	var rs []row
	for _, s := range report {
		r := row{Series: s}
		for i := range Windows {
			burn := s.Burn(i)
			r.Columns = append(r.Columns, burnColumn{
				Burn: burn, Good: s.Counts[i].Good, Total: s.Counts[i].Total, Width: 100 * min(burn/fullBar, 1),
			})
		}
		rs = append(rs, r)
	}
	return rs
}

// WriteText prints a report as a table: burn, and in brackets good of total.
func WriteText(w io.Writer, report []Series) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "objective\tbound\taccount\tmodel")
	for _, win := range Windows {
		fmt.Fprintf(t, "\tburn %s", short(win.Span))
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

func short(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%dh", int(d.Hours()))
	}
	return fmt.Sprintf("%dm", int(d.Minutes()))
}

var page = template.Must(template.New("report").Funcs(template.FuncMap{"short": short}).Parse(`<!DOCTYPE html>
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
<p>1 uses up exactly what an objective may fail; above it, the budget is gone before the window ends. As of {{.At}}.</p>
<table><tr><th>objective</th><th>bound</th><th>account</th><th>model</th>{{range .Windows}}<th>{{short .Span}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Objective}}</td><td>{{.Kind}}</td><td>{{.Account}}</td><td>{{.Model}}</td>
{{range .Columns}}<td class="{{if gt .Burn 1.0}}over{{end}}"><span>{{printf "%.2f" .Burn}}</span> <small>{{.Good}}/{{.Total}}</small><div class="bar" style="width:{{printf "%.0f" .Width}}%"></div></td>{{end}}</tr>
{{end}}</table></body></html>
`))

// WriteHTML writes a report as one self-contained page.
func WriteHTML(w io.Writer, report []Series, at time.Time) error {
	return page.Execute(w, struct {
		At      string
		Windows []Window
		Rows    []row
	}{at.UTC().Format(time.RFC3339), Windows, rows(report)})
}
