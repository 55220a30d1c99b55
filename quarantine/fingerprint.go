package quarantine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash of a request's content. A retry of the same request has
// the same fingerprint, whatever its request ID and node.
type Fingerprint uint64

// String returns the fingerprint in hex, as logged.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// FingerprintOf hashes a request's body and parts. Parts are length-prefixed,
// so that their boundaries count.
func FingerprintOf(body []byte, parts ...string) Fingerprint {
	h := xxhash.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.WriteString(part)
	}
	h.Write(body)
	return Fingerprint(h.Sum64())
}
