package walnutramp

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// GenerationID identifies one generation; it is never reused. It begins with
// the place of the node that opened the generation, so that its replicas can
// be found; the rest is random.
type GenerationID string

// Lengths of a GenerationID, in bytes before they are written as hex.
const (
	placeBytes        = 4
	generationIDBytes = 16
)

// NewGenerationID returns a fresh identity for a generation that a node with
// the given place opens.
func NewGenerationID(place uint32) GenerationID {
	var b [generationIDBytes]byte
	rand.Read(b[placeBytes:])
	binary.BigEndian.PutUint32(b[:placeBytes], place)
	return GenerationID(hex.EncodeToString(b[:]))
}

// Place returns the place the identity begins with, or 0 if it is malformed.
func (id GenerationID) Place() uint32 {
	if len(id) < 2*placeBytes {
		return 0
	}
	b, err := hex.DecodeString(string(id[:2*placeBytes]))
	if err != nil {
		return 0
	}
	return binary.BigEndian.Uint32(b)
}

// TokenID is a token as its engine numbers it.
type TokenID int64

// NoTokenID marks a token whose engine gave text but no number.
const NoTokenID TokenID = -1

// Token is one generated token. Text is empty while the engine holds back
// half a character or a possible stop sequence.
type Token struct {
	ID   TokenID
	Text string
}

// Offset counts tokens from the start of a generation.
type Offset int

// Position is a place in a generation's output: everything before Offset has
// been delivered. It is what callers see as the id of a server-sent event.
type Position struct {
	Generation GenerationID
	Offset     Offset
}

// String formats p as "generation:offset".
func (p Position) String() string {
	return string(p.Generation) + ":" + strconv.Itoa(int(p.Offset))
}

// ParsePosition reads what Position.String writes; it accepts nothing else.
func ParsePosition(s string) (Position, error) {
	id, num, ok := strings.Cut(s, ":")
	if !ok {
		return Position{}, fmt.Errorf("position %q: want generation:offset", s)
	}
	if !validGenerationID(id) {
		return Position{}, fmt.Errorf("position %q: generation must be %d hex digits", s, 2*generationIDBytes)
	}
	n, err := strconv.ParseUint(num, 10, 31)
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
