package rollout

import "maps"

// Aggregator aggregates the reports of all nodes. Reports are cumulative since the
// node's start, so duplicated and lost reports do not distort the totals.
type Aggregator struct {
	last map[reporter]map[Key]Counts
	sums map[Key]Counts
}

// reporter identifies one process of a node.
type reporter struct {
	node        string
	incarnation uint64
}

// NewAggregator returns an empty Aggregator.
func NewAggregator() *Aggregator {
	return &Aggregator{last: map[reporter]map[Key]Counts{}, sums: map[Key]Counts{}}
}

// Merge merges a node's cumulative counts and returns their increments.
func (a *Aggregator) Merge(node string, incarnation uint64, cells []Cell) []Cell {
	from := reporter{node, incarnation}
	if a.last[from] == nil {
		a.last[from] = map[Key]Counts{}
	}
	var increments []Cell
	for _, cell := range cells {
		before := a.last[from][cell.Key]
		if cell.Counts.Sent < before.Sent || cell.Counts.Answered() < before.Answered() {
			continue // reordered report, older than the last one
		}
		a.last[from][cell.Key] = cell.Counts
		increment := cell.Counts.since(before)
		sum := a.sums[cell.Key]
		sum.Add(increment)
		a.sums[cell.Key] = sum
		increments = append(increments, Cell{Key: cell.Key, Counts: increment})
	}
	return increments
}

// Sums returns the totals of a service over all nodes, by key.
func (a *Aggregator) Sums(service string) map[Key]Counts {
	sums := map[Key]Counts{}
	for key, sum := range a.sums {
		if key.Service == service {
			sums[key] = sum
		}
	}
	return sums
}

// Forget removes all counts of a service.
func (a *Aggregator) Forget(service string) {
	ofService := func(k Key, _ Counts) bool { return k.Service == service }
	for _, counts := range a.last {
		maps.DeleteFunc(counts, ofService)
	}
	maps.DeleteFunc(a.sums, ofService)
}
