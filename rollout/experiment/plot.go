package experiment

import (
	"fmt"
	"io"
	"text/template"
)

// Dimensions of the plot, in pixels.
const (
	plotLeft   = 250
	plotWidth  = 360
	plotRow    = 16
	plotHeader = 30
)

// bar is one row of the plot.
type bar struct {
	Label  string
	Y      int
	TextY  int
	Width  int
	Colour string
	Share  string
}

var plotTemplate = template.Must(template.New("rollouts").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="11">
<rect width="100%" height="100%" fill="white"/>
<text x="8" y="18" font-weight="bold">Rollouts with the wrong result: good versions rolled back, bad ones completed</text>
{{range .Bars}}<text x="8" y="{{.TextY}}">{{.Label}}</text><rect x="{{$.Left}}" y="{{.Y}}" width="{{.Width}}" height="12" fill="{{.Colour}}"/><text x="{{$.End}}" y="{{.TextY}}">{{.Share}}</text>
{{end}}</svg>
`))

// WritePlot writes an SVG bar chart of the share of rollouts with the wrong
// result.
func WritePlot(w io.Writer, rows []Row) error {
	bars := make([]bar, 0, len(rows))
	for i, r := range rows {
		y := plotHeader + i*plotRow
		share := r.wrong()
		b := bar{Y: y, TextY: y + 10, Width: int(share * plotWidth), Colour: "#1b6ca8", Share: fmt.Sprintf("%.1f%%", 100*share)}
		b.Label = fmt.Sprintf("%s, good, %s", r.Site, r.Policy)
		if r.Version.Bad() {
			b.Colour = "#c0392b"
			b.Label = fmt.Sprintf("%s, fails %.1f slow %.0f, %s, %s", r.Site, r.Version.Fails, r.Version.Slow, r.Version.When, r.Policy)
		}
		bars = append(bars, b)
	}
	return plotTemplate.Execute(w, map[string]any{
		"Width": plotLeft + plotWidth + 60, "Height": plotHeader + len(rows)*plotRow + 8, "Left": plotLeft, "End": plotLeft + plotWidth + 8, "Bars": bars,
	})
}

// wrong returns the share of rollouts with the wrong result: good versions that
// did not complete, and bad ones that were not rolled back.
func (r *Row) wrong() float64 {
	right := r.Completed
	if r.Version.Bad() {
		right = r.RolledBack
	}
	return float64(r.Runs-right) / float64(max(1, r.Runs))
}
