package quarantine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint names the content of a request. A request that a client sends
// again, under another identity and at another node, has the same one.
type Fingerprint uint64

// String returns the fingerprint as logs show it.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// FingerprintOf returns the fingerprint of a request's parts. Where one part
// ends and the next begins counts.
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
