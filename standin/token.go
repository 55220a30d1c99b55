// Package standin provides fake model engines, plain services and a fake platform
// for tests and demos. They implement the real protocols and support fault
// injection.
package standin

import (
	"encoding/base32"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/walnutramp/walnutramp"
)

// Bit layout of an output token ID, from the highest bit: a marker, the offset in
// the output (modulo 2^offsetBits), the nonce of the stream that generated it, and a
// checksum over the nonce and all preceding tokens. A prompt token ID holds up to four bytes of text and has no
// marker.
const (
	checkBits  = 26
	nonceBits  = 11
	offsetBits = 14
	markerBit  = 1 << (checkBits + nonceBits + offsetBits)
	checkMask  = 1<<checkBits - 1
	nonceMask  = 1<<nonceBits - 1
	offsetMask = 1<<offsetBits - 1

	promptTokenBytes = 4  // bytes of prompt text per token
	outputTokenBytes = 12 // bytes: a space and eleven base32 digits
	textShift        = 4  // left-aligns an ID in seven bytes
)

var outputDigits = base32.NewEncoding("abcdefghijkmnpqrstuvwxyz23456789").WithPadding(base32.NoPadding)

// chain is a running hash over a token sequence, and the number of output tokens since
// its last prompt token.
type chain struct {
	hash    uint64
	outputs int
}

func newChain(tokens []walnutramp.TokenID) chain {
	var c chain
	for _, id := range tokens {
		c = c.extend(id)
	}
	return c
}

// extend returns the chain with id appended.
func (c chain) extend(id walnutramp.TokenID) chain {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], c.hash)
	binary.LittleEndian.PutUint64(b[8:], uint64(id))
	next := chain{hash: xxhash.Sum64(b[:])}
	if id&markerBit != 0 {
		next.outputs = c.outputs + 1
	}
	return next
}

// nextToken returns the token that a stream with the given nonce generates after c.
func (c chain) nextToken(nonce int) walnutramp.TokenID {
	id := uint64(markerBit)
	id |= uint64(c.outputs&offsetMask) << (nonceBits + checkBits)
	id |= uint64(nonce&nonceMask) << checkBits
	id |= c.checksum(nonce)
	return walnutramp.TokenID(id)
}

func (c chain) checksum(nonce int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], c.hash)
	binary.LittleEndian.PutUint64(b[8:], uint64(nonce&nonceMask))
	return xxhash.Sum64(b[:]) & checkMask
}

func tokenOffset(id walnutramp.TokenID) int {
	return int(id>>(nonceBits+checkBits)) & offsetMask
}

func tokenNonce(id walnutramp.TokenID) int { return int(id>>checkBits) & nonceMask }

// outputText returns the text of an output token.
func outputText(id walnutramp.TokenID) string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(id)<<textShift)
	return " " + outputDigits.EncodeToString(b[1:])[:outputTokenBytes-1]
}

// parseOutput parses the text of an output token.
func parseOutput(text string) (walnutramp.TokenID, bool) {
	if len(text) != outputTokenBytes || text[0] != ' ' {
		return 0, false
	}
	b, err := outputDigits.DecodeString(text[1:] + "a")
	if err != nil || len(b) < 7 {
		return 0, false
	}
	var full [8]byte
	copy(full[1:], b[:7])
	return walnutramp.TokenID(binary.BigEndian.Uint64(full[:]) >> textShift), true
}

// Tokenize returns the prompt tokens of a text. Tokenizing output text does not give
// the original output tokens.
func Tokenize(text string) []walnutramp.TokenID {
	var ids []walnutramp.TokenID
	for len(text) > 0 {
		n := min(promptTokenBytes, len(text))
		id := walnutramp.TokenID(n) << 32
		for i := range n {
			id |= walnutramp.TokenID(text[i]) << (8 * i)
		}
		ids = append(ids, id)
		text = text[n:]
	}
	return ids
}

// Verdict is the result of checking an output.
type Verdict struct {
	Tokens   int // tokens checked
	Missing  int // tokens skipped, by their offsets
	Repeated int // tokens repeated
	Mixed    int // tokens that do not continue the preceding output, or are malformed
}

// OK reports whether the output has each token once, in order, from one generation. The
// generation may have been resumed, in streams with different nonces. Tokens missing at
// the end are not detected; compare Tokens for that.
func (v Verdict) OK() bool { return v.Missing == 0 && v.Repeated == 0 && v.Mixed == 0 }

// Add adds the counts of w to v.
func (v *Verdict) Add(w Verdict) {
	v.Tokens += w.Tokens
	v.Missing += w.Missing
	v.Repeated += w.Repeated
	v.Mixed += w.Mixed
}

// Tokens returns the number of tokens in an output of the stand-in engine.
func Tokens(output string) int { return len(output) / outputTokenBytes }

// Check checks the output text of the stand-in engine for a prompt. It stops at a
// malformed token.
func Check(prompt, output string) Verdict {
	var v Verdict
	c := newChain(Tokenize(prompt))
	for len(output) > 0 {
		n := min(outputTokenBytes, len(output))
		id, ok := parseOutput(output[:n])
		output = output[n:]
		v.Tokens++
		if !ok {
			v.Mixed++
			return v
		}
		v.classify(c, id)
		c = c.extend(id)
	}
	return v
}

// classify counts the fault of a token, if any, that was received after c.
func (v *Verdict) classify(c chain, id walnutramp.TokenID) {
	got := tokenOffset(id)
	want := c.outputs & offsetMask
	switch {
	case got > want:
		v.Missing += got - want
	case got < want:
		v.Repeated++
	case c.nextToken(tokenNonce(id)) != id:
		v.Mixed++
	}
}

// RenderChat returns the prompt text for chat messages.
func RenderChat(messages []ChatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}
