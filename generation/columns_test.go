package generation

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
)

func TestColumnsRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var want []Append
		var c Columns
		for i := range rng.IntN(5) {
			a := Append{Handle: Handle(i + 1), From: walnutramp.Offset(rng.IntN(100)), Tokens: []walnutramp.Token{}}
			for range rng.IntN(4) {
				a.Tokens = append(a.Tokens, walnutramp.Token{ID: walnutramp.TokenID(rng.Int64()), Text: "héllo"[:rng.IntN(6)]})
			}
			want = append(want, a)
			c.add(&a)
		}
		require.True(t, c.valid())
		got := c.appends()
		require.Len(t, got, len(want))
		for i := range want {
			require.Equal(t, want[i], got[i])
		}
	}
}

func TestInvalidColumnsAreRejected(t *testing.T) {
	var c Columns
	c.add(&Append{Handle: 1, Tokens: []walnutramp.Token{{ID: 7, Text: "x"}}})
	for name, corrupt := range map[string]func(*Columns){
		"too many tokens": func(c *Columns) { c.Counts[0] = 2 },
		"text too long":   func(c *Columns) { c.Sizes[0] = 9 },
		"missing column":  func(c *Columns) { c.Froms = nil },
	} {
		invalid := Columns{
			Handles: append([]uint64(nil), c.Handles...), Froms: append([]uint64(nil), c.Froms...),
			Counts: append([]uint64(nil), c.Counts...), IDs: c.IDs, Sizes: append([]uint64(nil), c.Sizes...), Text: c.Text,
		}
		corrupt(&invalid)
		require.False(t, invalid.valid(), name)
		s := NewStore(Member{Node: "n", Incarnation: 1}, 0)
		require.Error(t, s.Replicate(ReplicateArgs{To: 1, Plain: invalid}, &ReplicateReply{}), name)
	}
}

// BenchmarkReplicate applies batches of token-only appends at a replica.
func BenchmarkReplicate(b *testing.B) {
	const open = 32
	owner := Member{Node: "o", Incarnation: 1}
	s := NewStore(Member{Node: "n", Incarnation: 1}, 0)
	for h := range open {
		spec := Spec{ID: walnutramp.NewGenerationID(uint32(h))}
		opening := Append{Handle: Handle(h), Open: &Opening{Spec: spec, Epoch: Epoch{1, "o"}, Members: []Member{owner}}}
		s.Replicate(ReplicateArgs{From: owner, To: 1, Appends: []Append{opening}}, &ReplicateReply{})
	}
	b.ResetTimer()
	for i := range b.N {
		var c Columns
		for h := range open {
			c.add(&Append{Handle: Handle(h), From: walnutramp.Offset(i), Tokens: []walnutramp.Token{{ID: 7, Text: " saamchztjs2"}}})
		}
		s.Replicate(ReplicateArgs{From: owner, To: 1, Plain: c}, &ReplicateReply{})
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*open), "ns/token")
}
