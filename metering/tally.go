package metering

import "time"

// Source identifies a process of a node.
type Source struct {
	Node        string
	Incarnation uint64 // identifies the process; changes with each restart
}

// Aggregator sums the rows reported by nodes. Rows are cumulative per process, so
// lost, late or duplicate ones do no harm. It is not safe for concurrent use.
type Aggregator struct {
	sources map[Source]*sourceRows
	changed map[Source]map[key]struct{} // changed since the last call of Changes
	closed  Window
}

// sourceRows holds the rows reported by one source.
type sourceRows struct {
	rows       map[key]uint64
	lastReport time.Time
}

// NewAggregator returns an empty Aggregator.
func NewAggregator() *Aggregator {
	return &Aggregator{sources: map[Source]*sourceRows{}, changed: map[Source]map[key]struct{}{}}
}

// Merge merges rows that a node reported at the given local time.
func (a *Aggregator) Merge(from Source, rows []Row, at time.Time) {
	node := a.sources[from]
	if node == nil {
		node = &sourceRows{rows: map[key]uint64{}}
		a.sources[from] = node
	}
	node.lastReport = at
	a.markReported(from)
	for _, row := range rows {
		k := key{window: row.Window, account: row.Account}
		if row.Window <= a.closed || row.Count <= node.rows[k] {
			continue // window closed, or row older than the known one
		}
		node.rows[k] = row.Count
		a.changed[from][k] = struct{}{}
	}
}

// markReported records that a node reported since the last call of Changes.
func (a *Aggregator) markReported(from Source) {
	if a.changed[from] == nil {
		a.changed[from] = map[key]struct{}{}
	}
}

// Sum is the total of a window over all nodes.
type Sum struct {
	Counts Counts
	Total  uint64
	Rows   int
	Nodes  int       // number of sources with rows in the window
	Newest time.Time // time of the latest report of any of these
}

// Sum sums a window over all nodes.
func (a *Aggregator) Sum(w Window) Sum {
	sum := Sum{Counts: Counts{}}
	for _, node := range a.sources {
		rows := 0
		for k, count := range node.rows {
			if k.window != w {
				continue
			}
			rows++
			sum.Counts[k.account] += count
			sum.Total += count
		}
		sum.Rows += rows
		if rows == 0 {
			continue
		}
		sum.Nodes++
		if node.lastReport.After(sum.Newest) {
			sum.Newest = node.lastReport
		}
	}
	return sum
}

// Unresponsive returns how many nodes made their last report after since and before
// until. A report of a restarted process counts for its node.
func (a *Aggregator) Unresponsive(since, until time.Time) int {
	newest := map[string]time.Time{}
	for from, node := range a.sources {
		if node.lastReport.After(newest[from.Node]) {
			newest[from.Node] = node.lastReport
		}
	}
	unresponsive := 0
	for _, lastReport := range newest {
		if lastReport.After(since) && lastReport.Before(until) {
			unresponsive++
		}
	}
	return unresponsive
}

// Changes returns the rows that changed since the last call, or all rows. A
// source that reported nothing new is included without rows.
func (a *Aggregator) Changes(all bool) map[Source][]Row {
	changes := map[Source][]Row{}
	for from := range a.changed {
		changes[from] = nil
	}
	for from, node := range a.sources {
		for k, count := range node.rows {
			if _, changed := a.changed[from][k]; changed || all {
				changes[from] = append(changes[from], Row{Window: k.window, Account: k.account, Count: count})
			}
		}
	}
	clear(a.changed)
	return changes
}

// RemoveThrough removes the windows up to newest, which the group has closed.
func (a *Aggregator) RemoveThrough(newest Window) {
	if newest <= a.closed {
		return
	}
	a.closed = newest
	for from, node := range a.sources {
		for k := range node.rows {
			if k.window <= newest {
				delete(node.rows, k)
				delete(a.changed[from], k)
			}
		}
	}
}

// Forget removes the sources that have not reported since before and have no
// rows of an open window.
func (a *Aggregator) Forget(before time.Time) {
	for from, node := range a.sources {
		if len(node.rows) == 0 && node.lastReport.Before(before) {
			delete(a.sources, from)
			delete(a.changed, from)
		}
	}
}
