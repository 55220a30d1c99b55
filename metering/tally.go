package metering

import "time"

// Source names one life of a node.
type Source struct {
	Node string
	Life uint64 // of its process
}

// Tally sums the rows that nodes tell. A row tells the sum since the node's
// start, so one that comes twice, late or after others were lost does no harm.
// It is not safe for concurrent use.
type Tally struct {
	told    map[Source]*told
	changed map[Source]map[key]struct{} // since they were passed on
	closed  Window
}

// told is what one life of a node has told.
type told struct {
	rows  map[key]uint64
	heard time.Time
}

// NewTally returns a tally of nothing.
func NewTally() *Tally {
	return &Tally{told: map[Source]*told{}, changed: map[Source]map[key]struct{}{}}
}

// Take takes rows that a node told at a time of this process.
func (t *Tally) Take(from Source, rows []Row, at time.Time) {
	node := t.told[from]
	if node == nil {
		node = &told{rows: map[key]uint64{}}
		t.told[from] = node
	}
	node.heard = at
	t.note(from)
	for _, row := range rows {
		k := key{window: row.Window, account: row.Account}
		if row.Window <= t.closed || row.Count <= node.rows[k] {
			continue // too late, or overtaken by a newer word
		}
		node.rows[k] = row.Count
		t.changed[from][k] = struct{}{}
	}
}

// note notes that a node was heard since the last call of Changes.
func (t *Tally) note(from Source) {
	if t.changed[from] == nil {
		t.changed[from] = map[key]struct{}{}
	}
}

// Sum is what all nodes told of a window.
type Sum struct {
	Counts Counts
	Total  uint64
	Rows   int
	Nodes  int       // that told rows of it
	Newest time.Time // when one of these last told anything
}

// Sum sums a window over all nodes.
func (t *Tally) Sum(w Window) Sum {
	sum := Sum{Counts: Counts{}}
	for _, node := range t.told {
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
		if node.heard.After(sum.Newest) {
			sum.Newest = node.heard
		}
	}
	return sum
}

// Silent returns how many nodes were last heard between two times. A node that
// has started anew is heard when its new life is.
func (t *Tally) Silent(since, until time.Time) int {
	newest := map[string]time.Time{}
	for from, node := range t.told {
		if node.heard.After(newest[from.Node]) {
			newest[from.Node] = node.heard
		}
	}
	silent := 0
	for _, heard := range newest {
		if heard.After(since) && heard.Before(until) {
			silent++
		}
	}
	return silent
}

// Changes returns what has changed since the last call, or everything. A node
// that had nothing new to tell is named without rows.
func (t *Tally) Changes(all bool) map[Source][]Row {
	changes := map[Source][]Row{}
	for from := range t.changed {
		changes[from] = nil
	}
	for from, node := range t.told {
		for k, count := range node.rows {
			if _, changed := t.changed[from][k]; changed || all {
				changes[from] = append(changes[from], Row{Window: k.window, Account: k.account, Count: count})
			}
		}
	}
	clear(t.changed)
	return changes
}

// Closed forgets the windows up to one that the group has closed.
func (t *Tally) Closed(newest Window) {
	if newest <= t.closed {
		return
	}
	t.closed = newest
	for from, node := range t.told {
		for k := range node.rows {
			if k.window <= newest {
				delete(node.rows, k)
				delete(t.changed[from], k)
			}
		}
	}
}

// Forget drops the nodes that have told nothing since a time and have no rows
// of an open window.
func (t *Tally) Forget(before time.Time) {
	for from, node := range t.told {
		if len(node.rows) == 0 && node.heard.Before(before) {
			delete(t.told, from)
			delete(t.changed, from)
		}
	}
}
