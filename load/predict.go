package load

import (
	"fmt"
	"io"

	"github.com/walnutramp/walnutramp/target"
)

// SystemSize is a system size, with limits on the cost per node and on the time
// until a change is in force.
type SystemSize struct {
	Nodes          float64
	Engines        float64
	RequestsPerSec float64
	TokensPerSec   float64
	ChangesPerDay  float64
	CPULimit       float64 // CPU time of the control plane, in ms per second
	MemoryLimit    float64 // MB
	BytesLimit     float64 // bytes per second
	InForceLimit   float64 // ms from the acceptance of a change until the last node has it in force
}

// Target returns the size that the system is designed for.
func Target() SystemSize {
	return SystemSize{
		Nodes: 440, Engines: 12000, RequestsPerSec: 29000, TokensPerSec: 7.6e6, ChangesPerDay: 20000,
		CPULimit: 31, MemoryLimit: 128, BytesLimit: 7000, InForceLimit: 5000,
	}
}

const secondsPerDay = 86400

// prediction is a cost extrapolated to a system size, with its limit.
type prediction struct {
	name       string
	derivation string
	value      float64
	limit      float64
	unit       string
}

// WritePredictions writes the costs extrapolated to size t as a Markdown table.
func (c *Capacity) WritePredictions(w io.Writer, t SystemSize) {
	fmt.Fprintln(w, "| figure per daemon at the target | worked out as | predicted | limit | margin |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, p := range c.predictions(t) {
		margin := fmt.Sprintf("%.1f times inside", p.limit/p.value)
		if p.value > p.limit {
			margin = fmt.Sprintf("**%.1f times over**", p.value/p.limit)
		}
		fmt.Fprintf(w, "| %s | %s | %.4g %s | %.4g %s | %s |\n", p.name, p.derivation, p.value, p.unit, p.limit, p.unit, margin)
	}
}

// predictions returns the costs at size t: by the linear fits, and for load reports by
// the highest measured cost. The derivations name the sizes of Target whatever t is.
func (c *Capacity) predictions(t SystemSize) []prediction {
	extrapolate := func(name string, x float64) float64 {
		if s, ok := c.Slope(name); ok {
			return s.At(x)
		}
		return 0
	}
	maxMeasured := func(name string) float64 {
		y := 0.0
		if s, ok := c.Slope(name); ok {
			for _, p := range s.Points {
				y = max(y, p.Y)
			}
		}
		return y
	}
	changes := t.ChangesPerDay / secondsPerDay
	parse := extrapolate(SlopeParse, t.Engines)
	return []prediction{
		{"processor time, membership and lease", "fit by members at 440", extrapolate(SlopeMembersCPU, t.Nodes), t.CPULimit, "ms/s"},
		{"processor time, load reports", "largest measured by targets: beyond 30 of them the asks a second are bounded", maxMeasured(SlopeTargetsCPU), t.CPULimit, "ms/s"},
		{"bytes, load reports", fmt.Sprintf("%d asks a second × %.0f bytes measured", target.MaxPollsPerSecond, c.ReportBytes), target.MaxPollsPerSecond * c.ReportBytes, t.BytesLimit, "bytes/s"},
		{"processor time, taking changes of the whole bundle", "time to take a change at 12,000 targets × changes/s", parse * changes, t.CPULimit, "ms/s"},
		{"bytes, membership and lease", "fit by members at 440", extrapolate(SlopeMembersBytes, t.Nodes), t.BytesLimit, "bytes/s"},
		{"bytes, changes", "bytes of a change at 12,000 targets × changes/s", extrapolate(SlopeDelta, t.Engines) * changes, t.BytesLimit, "bytes/s"},
		{"memory, node", "fit by members at 440", extrapolate(SlopeMembersMemory, t.Nodes), t.MemoryLimit, "MB"},
		{"memory, bundle", "fit by targets at 12,000", extrapolate(SlopeBundleMemory, t.Engines), t.MemoryLimit, "MB"},
		{"time to in force on the last node", "fit by members at 440, and one taking of the change", extrapolate(SlopeInForce, t.Nodes) + parse, t.InForceLimit, "ms"},
	}
}
