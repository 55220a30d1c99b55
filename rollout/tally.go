package rollout

import "maps"

// Tally sums the reports of all nodes. A report tells sums since the node's
// start, so one that comes twice, or after others were lost, does no harm.
type Tally struct {
	told map[reporter]map[Key]Counts
	sums map[Key]Counts
}

// reporter is one life of a node.
type reporter struct {
	node string
	life uint64
}

// NewTally returns a tally of nothing.
func NewTally() *Tally { return &Tally{told: map[reporter]map[Key]Counts{}, sums: map[Key]Counts{}} }

// Take takes a node's sums and returns what is new in them.
func (t *Tally) Take(node string, life uint64, cells []Cell) []Cell {
	who := reporter{node, life}
	if t.told[who] == nil {
		t.told[who] = map[Key]Counts{}
	}
	var news []Cell
	for _, cell := range cells {
		before := t.told[who][cell.Key]
		if cell.Counts.Sent < before.Sent || cell.Counts.Answered() < before.Answered() {
			continue // an older report that was overtaken
		}
		t.told[who][cell.Key] = cell.Counts
		more := cell.Counts.since(before)
		sum := t.sums[cell.Key]
		sum.Add(more)
		t.sums[cell.Key] = sum
		news = append(news, Cell{Key: cell.Key, Counts: more})
	}
	return news
}

// Sums returns the sums of a service over all nodes, by key.
func (t *Tally) Sums(service string) map[Key]Counts {
	sums := map[Key]Counts{}
	for key, sum := range t.sums {
		if key.Service == service {
			sums[key] = sum
		}
	}
	return sums
}

// Forget drops what was told of a service.
func (t *Tally) Forget(service string) {
	of := func(k Key, _ Counts) bool { return k.Service == service }
	for _, told := range t.told {
		maps.DeleteFunc(told, of)
	}
	maps.DeleteFunc(t.sums, of)
}
