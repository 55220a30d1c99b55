// Package pack compresses peer messages and stored data with DEFLATE.
package pack

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// writers pools compressors, since a new one allocates about 1 MB.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // unreachable: the level is valid
	}
	return w
}}

// Compress compresses b. The output is deterministic.
func Compress(b []byte) []byte {
	var out bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(b); err != nil {
		panic(err) // unreachable: bytes.Buffer does not fail
	}
	if err := w.Close(); err != nil {
		panic(err)
	}
	return out.Bytes()
}

// Expand decompresses packed data. It fails if the data is corrupt or the result is
// longer than limit bytes.
func Expand(packed []byte, limit int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	b, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(b) > limit {
		return nil, errors.Newf("decompressed data exceeds %d bytes", limit)
	}
	return b, nil
}
