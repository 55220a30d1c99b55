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

// Row is what became of many roll-outs of one kind of version.
type Row struct {
	Site      string
	Policy    rollout.Policy
	Version   Version
	Troubles  Troubles
	Plays     int
	Completed int
	TakenBack int
	Open      int // at the deadline
	Over      int // beyond the bound on requests
	TooLate   int // requests too long after the fiftieth bad answer
	Exposed   float64
	Hurt      float64
	Ended     time.Duration // mean time to the verdict
	Reasons   map[string]int
}

// Measure plays seeded roll-outs of a version, as many at once as there are
// processors. The same seeds give the same row.
func Measure(site Site, v Version, troubles Troubles, policy rollout.Policy, plays int, firstSeed uint64) Row {
	outcomes := make([]Outcome, plays)
	var workers sync.WaitGroup
	next := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := range next {
				outcomes[i] = Play(site, v, troubles, policy, firstSeed+uint64(i))
			}
		})
	}
	for i := range plays {
		next <- i
	}
	close(next)
	workers.Wait()
	row := Row{Site: site.Name, Policy: policy, Version: v, Troubles: troubles, Plays: plays, Reasons: map[string]int{}}
	for _, o := range outcomes {
		row.add(o, site.Bounds)
	}
	row.Exposed /= float64(plays)
	row.Hurt /= float64(plays)
	row.Ended /= time.Duration(plays)
	return row
}

func (r *Row) add(o Outcome, b rollout.Bounds) {
	switch o.State {
	case rollout.Completed:
		r.Completed++
	case rollout.RolledBack:
		r.TakenBack++
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
	r.Hurt += float64(o.Hurt)
	r.Ended += o.EndedAt
	r.Reasons[o.Reason]++
}

// WriteTable writes rows as an aligned table.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "site\tpolicy\tfails\tslow\twhen\tplays\tcompleted\ttaken back\topen\tover bound\ttoo late\texposed\thurt\tended s")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%.1f\t%s\t%d\t%.1f%%\t%.1f%%\t%d\t%d\t%d\t%.0f\t%.1f\t%.1f\n", r.Site, r.Policy, r.Version.Fails, r.Version.Slow,
			r.Version.When, r.Plays, percent(r.Completed, r.Plays), percent(r.TakenBack, r.Plays), r.Open, r.Over, r.TooLate, r.Exposed, r.Hurt, r.Ended.Seconds())
	}
	return t.Flush()
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }
