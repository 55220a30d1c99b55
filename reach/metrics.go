package reach

import (
	"fmt"
	"io"
)

// reachMetric returns the name of the gauge that is 1 while this node has a path to a
// service's targets, and 0 while it has none.
func reachMetric(service string) string { return fmt.Sprintf("walnutramp_reach{service=%q}", service) }

// WriteMetrics writes the metrics in the Prometheus text format. Services without any sign
// of a lost path so far have none.
func (m *Monitor) WriteMetrics(w io.Writer) { m.set.WritePrometheus(w) }
