package scores

import (
	"fmt"
	"io"
	"strings"
	"text/template"
)

// WriteTable writes a Markdown table per site, with a row per day, a column with the
// value of a full score in the newest run, and a column per run. A star marks days with
// violated rules. Each site must have a run.
func WriteTable(w io.Writer, sites []Site) error {
	var b strings.Builder
	for i := range sites {
		s := &sites[i]
		fmt.Fprintf(&b, "| %s | full |", s.Name)
		for _, r := range s.Runs {
			fmt.Fprintf(&b, " %s |", r.Commit())
		}
		b.WriteString("\n|" + strings.Repeat("---|", 2+len(s.Runs)) + "\n| score | |")
		for _, r := range s.Runs {
			fmt.Fprintf(&b, " %s |", formatScore(r.Score))
		}
		b.WriteString("\n")
		for _, name := range s.Days() {
			fmt.Fprintf(&b, "| %s | %s |", name, formatScore(s.Runs[len(s.Runs)-1].day(name).FullScore))
			for j := range s.Runs {
				d := s.Runs[j].day(name)
				fmt.Fprintf(&b, " %.3f%s |", d.Value, strings.Repeat("*", min(1, d.Broken())))
			}
			b.WriteString("\n")
		}
		b.WriteString("\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func formatScore(v *float64) string {
	if v == nil {
		return "–"
	}
	return fmt.Sprintf("%.3f", *v)
}

// Dimensions in pixels: width of the plot, height and margin of a chart, and height of
// a line of a legend.
const (
	plotWidth  = 640
	plotHeight = 220
	plotMargin = 40
	legendLine = 16
)

// colours are the line colours of the days, used in turn.
var colours = []string{"#1b6ca8", "#c0392b", "#27794a", "#8e44ad", "#b9770e", "#2c3e50", "#16a085", "#7f8c8d"}

// line is the plot line of one day.
type line struct {
	Name, Colour, Points string
	LegendY              int
}

// chart is the chart of one site.
type chart struct {
	Name             string
	Top              int // vertical offset in the plot
	Left, Right      int
	Bottom, Height   int
	TextX            int
	Lines            []line
	FirstRun, Newest string
}

var plotTemplate = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="12">
<rect width="100%" height="100%" fill="white"/>
{{range .Charts}}<g transform="translate(0,{{.Top}})">
<text x="{{.Left}}" y="16" font-weight="bold">{{.Name}}: value of the standard days</text>
<line x1="{{.Left}}" y1="{{.Bottom}}" x2="{{.Right}}" y2="{{.Bottom}}" stroke="black"/>
<line x1="{{.Left}}" y1="24" x2="{{.Left}}" y2="{{.Bottom}}" stroke="black"/>
<text x="8" y="30">1.0</text><text x="8" y="{{.Bottom}}">0.0</text>
<text x="{{.Left}}" y="{{.Height}}">{{.FirstRun}}</text><text x="{{.Right}}" y="{{.Height}}" text-anchor="end">{{.Newest}}</text>
{{range .Lines}}<polyline fill="none" stroke="{{.Colour}}" stroke-width="2" points="{{.Points}}"/>
{{end}}{{$chart := .}}{{range .Lines}}<text x="{{$chart.TextX}}" y="{{.LegendY}}" fill="{{.Colour}}">{{.Name}}</text>
{{end}}</g>
{{end}}</svg>
`))

// WritePlot writes an SVG image with one chart per site. Each site must have a run.
func WritePlot(w io.Writer, sites []Site) error {
	page := struct {
		Width, Height int
		Charts        []chart
	}{Width: plotWidth, Height: plotHeight * len(sites)}
	for i := range sites {
		page.Charts = append(page.Charts, chartOf(&sites[i], i*plotHeight))
	}
	return plotTemplate.Execute(w, page)
}

func chartOf(s *Site, top int) chart {
	c := chart{
		Name: s.Name, Top: top, Left: plotMargin, Right: plotWidth - 3*plotMargin, Bottom: plotHeight - plotMargin,
		Height: plotHeight - plotMargin/2, TextX: plotWidth - 3*plotMargin + 8,
		FirstRun: s.Runs[0].Commit(), Newest: s.Runs[len(s.Runs)-1].Commit(),
	}
	for i, name := range s.Days() {
		l := line{Name: name, Colour: colours[i%len(colours)], LegendY: 30 + i*legendLine}
		for j := range s.Runs {
			l.Points += fmt.Sprintf("%.1f,%.1f ", c.x(j, len(s.Runs)), c.y(s.Runs[j].day(name).Value))
		}
		c.Lines = append(c.Lines, l)
	}
	return c
}

// x returns the horizontal position of a run; a single run is at the left edge.
func (c *chart) x(run, runs int) float64 {
	return float64(c.Left) + float64(c.Right-c.Left)*float64(run)/float64(max(1, runs-1))
}

// y returns the vertical position of a value, clamped to the range 0 to 1.
func (c *chart) y(value float64) float64 {
	const top = 24
	return float64(c.Bottom) - max(0, min(1, value))*float64(c.Bottom-top)
}
