package bundle

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/pmezard/go-difflib/difflib"
)

// Splice replaces a range of chunks of the older document.
type Splice struct {
	From, To int // half-open range of chunk indexes in the older document
	Lines    []byte
}

// splitChunks splits a document into chunks whose concatenation is the
// document. It splits after newlines, and after the objects of a JSON list,
// which is often a single line.
func splitChunks(doc []byte) []string {
	var chunks []string
	start := 0
	for i, c := range doc {
		if c == '\n' || c == ',' && i > 0 && doc[i-1] == '}' {
			chunks = append(chunks, string(doc[start:i+1]))
			start = i + 1
		}
	}
	if start < len(doc) {
		chunks = append(chunks, string(doc[start:]))
	}
	return chunks
}

// Delta transforms one document version into another.
type Delta struct {
	From, To   uint64 // versions
	FromDigest string
	ToDigest   string
	Splices    []Splice // sorted by From
}

// NewDelta computes the delta between two documents.
func NewDelta(fromVersion uint64, from []byte, toVersion uint64, to []byte) Delta {
	d := Delta{From: fromVersion, To: toVersion, FromDigest: Digest(from), ToDigest: Digest(to)}
	a, b := splitChunks(from), splitChunks(to)
	prefix := commonChunks(a, b, false)
	suffix := commonChunks(a[prefix:], b[prefix:], true)
	midA, midB := a[prefix:len(a)-suffix], b[prefix:len(b)-suffix]
	for _, op := range difflib.NewMatcherWithJunk(midA, midB, false, nil).GetOpCodes() {
		if op.Tag == 'e' {
			continue
		}
		var lines bytes.Buffer
		for _, line := range midB[op.J1:op.J2] {
			lines.WriteString(line)
		}
		d.Splices = append(d.Splices, Splice{From: prefix + op.I1, To: prefix + op.I2, Lines: lines.Bytes()})
	}
	return d
}

// commonChunks returns the length of the common prefix, or suffix, in chunks.
func commonChunks(a, b []string, fromEnd bool) int {
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

// Size returns the approximate encoded size in bytes.
func (d *Delta) Size() int {
	size := len(d.FromDigest) + len(d.ToDigest)
	for _, s := range d.Splices {
		size += len(s.Lines) + spliceOverhead
	}
	return size
}

// spliceOverhead is the approximate encoding overhead of a splice, in bytes.
const spliceOverhead = 24

// Apply returns the newer document. It returns an error unless the digests of
// doc and of the result match the delta.
func (d *Delta) Apply(doc []byte) ([]byte, error) {
	if Digest(doc) != d.FromDigest {
		return nil, errors.Newf("delta %d to %d was made from another document", d.From, d.To)
	}
	chunks := splitChunks(doc)
	var out bytes.Buffer
	at := 0
	for _, s := range d.Splices {
		if s.From < at || s.To < s.From || s.To > len(chunks) {
			return nil, errors.Newf("delta %d to %d has a splice out of range", d.From, d.To)
		}
		writeChunks(&out, chunks[at:s.From])
		out.Write(s.Lines)
		at = s.To
	}
	writeChunks(&out, chunks[at:])
	next := out.Bytes()
	if Digest(next) != d.ToDigest {
		return nil, errors.Newf("digest mismatch after applying delta %d to %d", d.From, d.To)
	}
	return next, nil
}

func writeChunks(out *bytes.Buffer, chunks []string) {
	for _, l := range chunks {
		out.WriteString(l)
	}
}
