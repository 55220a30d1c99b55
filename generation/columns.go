package generation

import (
	"github.com/walnutramp/walnutramp"
)

// Columns is the column-wise encoding of appends that have only tokens (see tokensOnly).
// It is cheaper to encode than a list of structures.
type Columns struct {
	Handles []uint64 // run handle of each append
	Froms   []uint64 // offset of each append's first token
	Counts  []uint64 // number of tokens of each append
	IDs     []int64  // of all tokens, concatenated
	Sizes   []uint64 // length of each token's text in bytes
	Text    []byte   // of all tokens, concatenated
}

// tokensOnly reports whether an append can be encoded in Columns.
func (a *Append) tokensOnly() bool {
	return a.Open == nil && a.PromptTokens == nil && a.Source == nil && a.Final == nil
}

// add encodes one more append, for which tokensOnly must be true.
func (c *Columns) add(a *Append) {
	c.Handles = append(c.Handles, uint64(a.Handle))
	c.Froms = append(c.Froms, uint64(a.From))
	c.Counts = append(c.Counts, uint64(len(a.Tokens)))
	for _, t := range a.Tokens {
		c.IDs = append(c.IDs, int64(t.ID))
		c.Sizes = append(c.Sizes, uint64(len(t.Text)))
		c.Text = append(c.Text, t.Text...)
	}
}

// valid reports whether the lengths of the columns are consistent. Columns received from
// another node must be checked before they are decoded.
func (c *Columns) valid() bool {
	var tokens, bytes uint64
	for _, n := range c.Counts {
		tokens += min(n, uint64(len(c.IDs))+1) // clamped, so that the sum can't overflow
	}
	for _, n := range c.Sizes {
		bytes += min(n, uint64(len(c.Text))+1)
	}
	return len(c.Froms) == len(c.Handles) && len(c.Counts) == len(c.Handles) &&
		tokens == uint64(len(c.IDs)) && len(c.Sizes) == len(c.IDs) && bytes == uint64(len(c.Text))
}

// appends decodes the columns, for which valid must be true.
func (c *Columns) appends() []Append {
	list := make([]Append, len(c.Handles))
	tokens := make([]walnutramp.Token, len(c.IDs))
	text := string(c.Text)
	for i, id := range c.IDs {
		size := c.Sizes[i]
		tokens[i] = walnutramp.Token{ID: walnutramp.TokenID(id), Text: text[:size]}
		text = text[size:]
	}
	for i := range list {
		n := c.Counts[i]
		list[i] = Append{Handle: Handle(c.Handles[i]), From: walnutramp.Offset(c.Froms[i]), Tokens: tokens[:n]}
		tokens = tokens[n:]
	}
	return list
}
