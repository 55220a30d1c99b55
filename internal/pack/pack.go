// Package pack compresses what nodes send each other and keep on disks.
package pack

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// writers keeps compressors: a new one takes up a megabyte.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a known one
	}
	return w
}}

// Compress returns b compressed. The same bytes always give the same result.
func Compress(b []byte) []byte {
	var out bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(b); err != nil {
		panic(err) // a buffer takes everything
	}
	if err := w.Close(); err != nil {
		panic(err)
	}
	return out.Bytes()
}

// Expand returns what was compressed, unless it is longer than limit bytes.
func Expand(packed []byte, limit int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	b, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "compressed data")
	}
	if len(b) > limit {
		return nil, errors.Newf("compressed data of more than %d bytes", limit)
	}
	return b, nil
}
