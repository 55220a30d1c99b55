// Package standin holds small fakes of the systems this project serves: a
// model engine, a plain service, a platform and a weight store. They speak
// the published protocols and can be told to fail.
package standin

import (
	"encoding/base32"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/walnutramp/walnutramp"
)

// An output token's number holds, from the top: a marker, its offset in the
// output, the nonce of the attempt that made it, and a check over the chain
// of every token before it. A prompt token's number holds up to four bytes
// of text and has no marker.
const (
	checkBits  = 26
	nonceBits  = 11
	offsetBits = 14
	markerBit  = 1 << (checkBits + nonceBits + offsetBits)
	checkMask  = 1<<checkBits - 1
	nonceMask  = 1<<nonceBits - 1
	offsetMask = 1<<offsetBits - 1

	promptPiece    = 4  // bytes of prompt text in one token
	outputTextSize = 12 // a space and eleven digits of five bits
	textShift      = 4  // left-aligns a number in seven bytes
)

var outputDigits = base32.NewEncoding("abcdefghijkmnpqrstuvwxyz23456789").WithPadding(base32.NoPadding)

// chain is the running hash over a sequence of tokens, and how many output
// tokens stand at its end.
type chain struct {
	sum     uint64
	outputs int
}

func newChain(tokens []walnutramp.TokenID) chain {
	var c chain
	for _, id := range tokens {
		c = c.then(id)
	}
	return c
}

// then returns the chain with id behind it.
func (c chain) then(id walnutramp.TokenID) chain {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], c.sum)
	binary.LittleEndian.PutUint64(b[8:], uint64(id))
	next := chain{sum: xxhash.Sum64(b[:])}
	if id&markerBit != 0 {
		next.outputs = c.outputs + 1
	}
	return next
}

// next returns the token an attempt with this nonce makes after c.
func (c chain) next(nonce int) walnutramp.TokenID {
	id := uint64(markerBit)
	id |= uint64(c.outputs&offsetMask) << (nonceBits + checkBits)
	id |= uint64(nonce&nonceMask) << checkBits
	id |= c.check(nonce)
	return walnutramp.TokenID(id)
}

func (c chain) check(nonce int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], c.sum)
	binary.LittleEndian.PutUint64(b[8:], uint64(nonce&nonceMask))
	return xxhash.Sum64(b[:]) & checkMask
}

func tokenOffset(id walnutramp.TokenID) int {
	return int(id>>(nonceBits+checkBits)) & offsetMask
}

func tokenNonce(id walnutramp.TokenID) int { return int(id>>checkBits) & nonceMask }

// outputText is the text of an output token.
func outputText(id walnutramp.TokenID) string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(id)<<textShift)
	return " " + outputDigits.EncodeToString(b[1:])[:outputTextSize-1]
}

// parseOutput reads one token's text.
func parseOutput(text string) (walnutramp.TokenID, bool) {
	if len(text) != outputTextSize || text[0] != ' ' {
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

// Tokenize splits prompt text as the stand-in engine does. Output text that
// is tokenized again does not give the tokens it was made of.
func Tokenize(text string) []walnutramp.TokenID {
	var ids []walnutramp.TokenID
	for len(text) > 0 {
		n := min(promptPiece, len(text))
		id := walnutramp.TokenID(n) << 32
		for i := range n {
			id |= walnutramp.TokenID(text[i]) << (8 * i)
		}
		ids = append(ids, id)
		text = text[n:]
	}
	return ids
}

// Verdict is what a check of an output found.
type Verdict struct {
	Tokens   int // tokens read
	Missing  int // places that were skipped
	Repeated int // tokens that stand again
	Mixed    int // tokens that do not continue what stands before them
}

// OK reports whether every token stands once, in order, of one generation.
func (v Verdict) OK() bool { return v.Missing == 0 && v.Repeated == 0 && v.Mixed == 0 }

// Add adds w's counts to v's.
func (v *Verdict) Add(w Verdict) {
	v.Tokens += w.Tokens
	v.Missing += w.Missing
	v.Repeated += w.Repeated
	v.Mixed += w.Mixed
}

// Tokens returns how many tokens an output of the stand-in engine has.
func Tokens(output string) int { return len(output) / outputTextSize }

// Check reads an output of the stand-in engine for a prompt from its text
// alone.
func Check(prompt, output string) Verdict {
	var v Verdict
	c := newChain(Tokenize(prompt))
	for len(output) > 0 {
		n := min(outputTextSize, len(output))
		id, ok := parseOutput(output[:n])
		output = output[n:]
		v.Tokens++
		if !ok {
			v.Mixed++
			return v
		}
		v.count(c, id)
		c = c.then(id)
	}
	return v
}

func (v *Verdict) count(c chain, id walnutramp.TokenID) {
	got := tokenOffset(id)
	want := c.outputs & offsetMask
	switch {
	case got > want:
		v.Missing += got - want
	case got < want:
		v.Repeated++
	case c.next(tokenNonce(id)) != id:
		v.Mixed++
	}
}

// RenderChat is the prompt text the stand-in makes of chat messages.
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
