package walnutramp

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// GenerationID identifies a generation and is never reused. It consists of the hash-ring
// position of the node that opened the generation, by which its replicas are found, and
// random bytes.
type GenerationID string

// Lengths of a GenerationID, in bytes before they are written as hex.
const (
	positionBytes     = 4
	generationIDBytes = 16
)

// NewGenerationID returns a new ID for a generation opened by the node at ringPosition.
func NewGenerationID(ringPosition uint32) GenerationID {
	var b [generationIDBytes]byte
	rand.Read(b[positionBytes:])
	binary.BigEndian.PutUint32(b[:positionBytes], ringPosition)
	return GenerationID(hex.EncodeToString(b[:]))
}

// RingPosition returns the hash-ring position in the ID, or 0 if the ID is malformed.
func (id GenerationID) RingPosition() uint32 {
	if len(id) < 2*positionBytes {
		return 0
	}
	b, err := hex.DecodeString(string(id[:2*positionBytes]))
	if err != nil {
		return 0
	}
	return binary.BigEndian.Uint32(b)
}

// TokenID is a token's ID in the vocabulary of its engine.
type TokenID int64

// NoTokenID marks a token for which the engine returned text without an ID.
const NoTokenID TokenID = -1

// Token is one generated token. Text is empty while the engine withholds an incomplete
// character or a potential stop sequence.
type Token struct {
	ID   TokenID
	Text string
}

// Offset counts tokens from the start of a generation.
type Offset int

// Position is an offset in a generation's output: everything before it has been delivered.
// Callers see it as the ID of a server-sent event.
type Position struct {
	Generation GenerationID
	Offset     Offset
}

// String formats p as "generation:offset".
func (p Position) String() string {
	return string(p.Generation) + ":" + strconv.Itoa(int(p.Offset))
}

// ParsePosition parses the format of Position.String, and nothing else.
func ParsePosition(s string) (Position, error) {
	id, offset, ok := strings.Cut(s, ":")
	if !ok {
		return Position{}, fmt.Errorf("position %q: want generation:offset", s)
	}
	if !validGenerationID(id) {
		return Position{}, fmt.Errorf("position %q: generation must be %d hex digits", s, 2*generationIDBytes)
	}
	n, err := strconv.ParseUint(offset, 10, 31)
	if err != nil {
		return Position{}, fmt.Errorf("position %q: offset must be a whole number", s)
	}
	p := Position{Generation: GenerationID(id), Offset: Offset(n)}
	if p.String() != s {
		return Position{}, fmt.Errorf("position %q: offset must be written without leading zeros or signs", s)
	}
	return p, nil
}

func validGenerationID(s string) bool {
	if len(s) != 2*generationIDBytes {
		return false
	}
	for _, c := range s {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
