package bundle

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/pmezard/go-difflib/difflib"
)

// Splice replaces pieces of an older document.
type Splice struct {
	From, To int // pieces of the older document, counted from 0, To left out
	Lines    []byte
}

// pieces cuts a document up; joined, they give the document. It is cut at the
// ends of lines, and of the objects in a list of a JSON text, which often is a
// single line.
func pieces(doc []byte) []string {
	var all []string
	begin := 0
	for i, c := range doc {
		if c == '\n' || c == ',' && i > 0 && doc[i-1] == '}' {
			all = append(all, string(doc[begin:i+1]))
			begin = i + 1
		}
	}
	if begin < len(doc) {
		all = append(all, string(doc[begin:]))
	}
	return all
}

// Delta turns one document into the next.
type Delta struct {
	From, To   uint64 // versions
	FromDigest string
	ToDigest   string
	Splices    []Splice // in order
}

// NewDelta returns the delta between two documents.
func NewDelta(fromVersion uint64, from []byte, toVersion uint64, to []byte) Delta {
	d := Delta{From: fromVersion, To: toVersion, FromDigest: Digest(from), ToDigest: Digest(to)}
	a, b := pieces(from), pieces(to)
	head := commonLines(a, b, false)
	tail := commonLines(a[head:], b[head:], true)
	midA, midB := a[head:len(a)-tail], b[head:len(b)-tail]
	for _, op := range difflib.NewMatcherWithJunk(midA, midB, false, nil).GetOpCodes() {
		if op.Tag == 'e' {
			continue
		}
		var lines bytes.Buffer
		for _, line := range midB[op.J1:op.J2] {
			lines.WriteString(line)
		}
		d.Splices = append(d.Splices, Splice{From: head + op.I1, To: head + op.I2, Lines: lines.Bytes()})
	}
	return d
}

// commonLines counts equal lines at the beginnings, or the ends.
func commonLines(a, b []string, fromEnd bool) int {
	n := 0
	for n < min(len(a), len(b)) {
		i, j := n, n
		if fromEnd {
			i, j = len(a)-1-n, len(b)-1-n
		}
		if a[i] != b[j] {
			break
		}
		n++
	}
	return n
}

// Size is about how many bytes the delta takes up when it is sent.
func (d *Delta) Size() int {
	size := len(d.FromDigest) + len(d.ToDigest)
	for _, s := range d.Splices {
		size += len(s.Lines) + spliceOverhead
	}
	return size
}

// spliceOverhead is about what a splice takes up beside its text, in bytes.
const spliceOverhead = 24

// Apply returns the next document. It fails unless doc is what the delta was
// made from and the result is what it was made for.
func (d *Delta) Apply(doc []byte) ([]byte, error) {
	if Digest(doc) != d.FromDigest {
		return nil, errors.Newf("delta %d to %d is from another document", d.From, d.To)
	}
	lines := pieces(doc)
	var out bytes.Buffer
	at := 0
	for _, s := range d.Splices {
		if s.From < at || s.To < s.From || s.To > len(lines) {
			return nil, errors.Newf("delta %d to %d does not fit", d.From, d.To)
		}
		writeLines(&out, lines[at:s.From])
		out.Write(s.Lines)
		at = s.To
	}
	writeLines(&out, lines[at:])
	next := out.Bytes()
	if Digest(next) != d.ToDigest {
		return nil, errors.Newf("delta %d to %d gives another document", d.From, d.To)
	}
	return next, nil
}

func writeLines(out *bytes.Buffer, lines []string) {
	for _, l := range lines {
		out.WriteString(l)
	}
}
