package experiment

import (
	"fmt"
	"io"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/walnutramp/walnutramp/rollout"
)

// Row aggregates the outcomes of many simulated rollouts of one version.
type Row struct {
	Site       string
	Policy     rollout.Policy
	Version    Version
	Faults     Faults
	Runs       int
	Completed  int
	RolledBack int
	Open       int            // still running at the deadline
	Over       int            // exceeded the bound of Bounds.Share and Bounds.Slack
	TooLate    int            // exceeded Bounds.StopWithin
	Exposed    float64        // mean Outcome.Exposed
	BadAnswers float64        // mean Outcome.BadAnswers
	Ended      time.Duration  // mean Outcome.EndedAt; open runs count as 0
	Reasons    map[string]int // number of runs by Outcome.Reason; "" for open runs
}

// Measure simulates rollouts of a version with consecutive seeds, on all
// processors. The same seeds give the same row.
func Measure(site Site, v Version, faults Faults, policy rollout.Policy, runs int, firstSeed uint64) Row {
	outcomes := make([]Outcome, runs)
	var workers sync.WaitGroup
	next := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := range next {
				outcomes[i] = Simulate(site, v, faults, policy, firstSeed+uint64(i))
			}
		})
	}
	for i := range runs {
		next <- i
	}
	close(next)
	workers.Wait()
	row := Row{Site: site.Name, Policy: policy, Version: v, Faults: faults, Runs: runs, Reasons: map[string]int{}}
	for _, o := range outcomes {
		row.add(o, site.Bounds)
	}
	row.Exposed /= float64(runs)
	row.BadAnswers /= float64(runs)
	row.Ended /= time.Duration(runs)
	return row
}

func (r *Row) add(o Outcome, b rollout.Bounds) {
	switch o.State {
	case rollout.Completed:
		r.Completed++
	case rollout.RolledBack:
		r.RolledBack++
	default:
		r.Open++
	}
	if o.Over > 0 {
		r.Over++
	}
	if o.TooLate(b) {
		r.TooLate++
	}
	r.Exposed += o.Exposed
	r.BadAnswers += float64(o.BadAnswers)
	r.Ended += o.EndedAt
	r.Reasons[o.Reason]++
}

// WriteTable writes rows as an aligned table.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "site\tpolicy\tfails\tslow\twhen\truns\tcompleted\trolled back\topen\tover bound\ttoo late\texposed\tbad answers\tended s")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%.1f\t%s\t%d\t%.1f%%\t%.1f%%\t%d\t%d\t%d\t%.0f\t%.1f\t%.1f\n", r.Site, r.Policy, r.Version.Fails, r.Version.Slow,
			r.Version.When, r.Runs, percent(r.Completed, r.Runs), percent(r.RolledBack, r.Runs), r.Open, r.Over, r.TooLate, r.Exposed, r.BadAnswers, r.Ended.Seconds())
	}
	return t.Flush()
}

func percent(n, total int) float64 { return 100 * float64(n) / float64(max(1, total)) }
