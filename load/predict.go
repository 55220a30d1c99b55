package load

import (
	"fmt"
	"io"

	"github.com/walnutramp/walnutramp/target"
)

// TargetSize is the size the system must reach, with its limits.
type TargetSize struct {
	Nodes          float64
	Servers        float64 // engines
	RequestsPerSec float64
	TokensPerSec   float64
	ChangesPerDay  float64
	CPULimit       float64 // ms a second of one core, for control
	MemoryLimit    float64 // MB
	BytesLimit     float64 // a second
	InForceLimit   float64 // ms
}

// Target is the size of the users' first letter.
func Target() TargetSize {
	return TargetSize{
		Nodes: 440, Servers: 12000, RequestsPerSec: 29000, TokensPerSec: 7.6e6, ChangesPerDay: 20000,
		CPULimit: 31, MemoryLimit: 128, BytesLimit: 7000, InForceLimit: 5000,
	}
}

const secondsPerDay = 86400

// prediction is one figure at the target size against its limit.
type prediction struct {
	what  string
	how   string
	value float64
	limit float64
	unit  string
}

// WritePredictions prints what the slopes give at a size.
func (c *Capacity) WritePredictions(w io.Writer, t TargetSize) {
	fmt.Fprintln(w, "| figure per daemon at the target | worked out as | predicted | limit | margin |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, p := range c.predictions(t) {
		verdict := fmt.Sprintf("%.1f times inside", p.limit/p.value)
		if p.value > p.limit {
			verdict = fmt.Sprintf("**%.1f times over**", p.value/p.limit)
		}
		fmt.Fprintf(w, "| %s | %s | %.4g %s | %.4g %s | %s |\n", p.what, p.how, p.value, p.unit, p.limit, p.unit, verdict)
	}
}

func (c *Capacity) predictions(t TargetSize) []prediction {
	at := func(name string, x float64) float64 {
		if s, ok := c.Slope(name); ok {
			return s.At(x)
		}
		return 0
	}
	highest := func(name string) float64 {
		y := 0.0
		if s, ok := c.Slope(name); ok {
			for _, p := range s.Points {
				y = max(y, p.Y)
			}
		}
		return y
	}
	changes := t.ChangesPerDay / secondsPerDay
	parse := at(SlopeParse, t.Servers)
	return []prediction{
		{"processor time, membership and lease", "fit by members at 440", at(SlopeMembersCPU, t.Nodes), t.CPULimit, "ms/s"},
		{"processor time, load reports", "largest measured by targets: beyond 30 of them the asks a second are bounded", highest(SlopeTargetsCPU), t.CPULimit, "ms/s"},
		{"bytes, load reports", fmt.Sprintf("%d asks a second × %.0f bytes measured", target.AsksPerSecond, c.ReportBytes), target.AsksPerSecond * c.ReportBytes, t.BytesLimit, "bytes/s"},
		{"processor time, taking changes of the whole bundle", "time to take a change at 12,000 targets × changes/s", parse * changes, t.CPULimit, "ms/s"},
		{"bytes, membership and lease", "fit by members at 440", at(SlopeMembersBytes, t.Nodes), t.BytesLimit, "bytes/s"},
		{"bytes, changes", "bytes of a change at 12,000 targets × changes/s", at(SlopeDelta, t.Servers) * changes, t.BytesLimit, "bytes/s"},
		{"memory, node", "fit by members at 440", at(SlopeMembersMemory, t.Nodes), t.MemoryLimit, "MB"},
		{"memory, bundle", "fit by targets at 12,000", at(SlopeBundleMemory, t.Servers), t.MemoryLimit, "MB"},
		{"time to in force on the last node", "fit by members at 440, and one taking of the change", at(SlopeInForce, t.Nodes) + parse, t.InForceLimit, "ms"},
	}
}
