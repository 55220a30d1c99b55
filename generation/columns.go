package generation

import (
	"github.com/walnutramp/walnutramp"
)

// Columns carries appends that hold nothing but tokens, which nearly all do,
// column by column: that is several times cheaper to encode than a list of
// structures.
type Columns struct {
	Handles []uint64
	Froms   []uint64
	Counts  []uint64 // tokens of each append
	IDs     []int64  // of all tokens in order
	Sizes   []uint64 // bytes of each token's text
	Text    []byte   // of all tokens in order
}

// plain reports whether an append fits into columns.
func (a *Append) plain() bool {
	return a.Open == nil && a.PromptTokens == nil && a.Source == nil && a.Final == nil
}

// add puts a plain append behind the others.
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

// whole reports whether the columns fit each other.
func (c *Columns) whole() bool {
	var tokens, bytes uint64
	for _, n := range c.Counts {
		tokens += min(n, uint64(len(c.IDs))+1) // no sum may wrap around
	}
	for _, n := range c.Sizes {
		bytes += min(n, uint64(len(c.Text))+1)
	}
	return len(c.Froms) == len(c.Handles) && len(c.Counts) == len(c.Handles) &&
		tokens == uint64(len(c.IDs)) && len(c.Sizes) == len(c.IDs) && bytes == uint64(len(c.Text))
}

// appends returns the appends again; the columns must be whole.
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
