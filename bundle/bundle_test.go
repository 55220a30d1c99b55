package bundle

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestValidationErrors reads case files: a document, a divider line, and the
// expected validation errors, one per line.
func TestValidationErrors(t *testing.T) {
	files, err := filepath.Glob("testdata/mistakes/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			content, err := os.ReadFile(file)
			require.NoError(t, err)
			doc, want, ok := strings.Cut(string(content), "----\n")
			require.True(t, ok)
			_, err = Parse([]byte(doc))
			require.Error(t, err)
			require.Equal(t, strings.TrimSpace(want), err.Error())
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		doc, err := os.ReadFile(file)
		require.NoError(t, err)
		parsed, err := Parse(doc)
		require.NoError(t, err, file)
		decoded, err := Decode(doc)
		require.NoError(t, err)
		require.Equal(t, parsed, decoded)
	}
}

func TestRepeatableUsesLongestPrefix(t *testing.T) {
	s := Service{Routes: []Route{
		{Path: "/lookup", Repeatable: true},
		{Path: "/lookup/reserve"},
		{Method: "GET", Path: "/", Repeatable: true},
	}}
	require.True(t, s.Repeatable("POST", "/lookup/7"))
	require.False(t, s.Repeatable("POST", "/lookup/reserve/7"))
	require.False(t, s.Repeatable("POST", "/lookups"))
	require.True(t, s.Repeatable("GET", "/bookings"))
	require.False(t, s.Repeatable("POST", "/bookings"))
}

// randomLines returns a document of random lines, some of them joined.
func randomLines(rng *rand.Rand) []byte {
	var b strings.Builder
	for range rng.IntN(30) {
		fmt.Fprintf(&b, "line %d", rng.IntN(8))
		if rng.IntN(12) > 0 {
			b.WriteByte('\n')
		}
	}
	return []byte(b.String())
}

func TestDeltaReproducesDocument(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		from, to := randomLines(rng), randomLines(rng)
		d := NewDelta(1, from, 2, to)
		got, err := d.Apply(from)
		require.NoError(t, err, "from %q to %q", from, to)
		require.Equal(t, string(to), string(got))
		if string(from) != string(to) {
			_, err = d.Apply(to)
			require.Error(t, err, "a delta must not apply to another document")
		}
	}
}

func FuzzParse(f *testing.F) {
	doc, err := os.ReadFile("../examples/local.yaml")
	require.NoError(f, err)
	f.Add(doc)
	f.Add([]byte("version: 1\nsite: s\n"))
	f.Add([]byte(`{"version":1,"site":"s"}`))
	f.Fuzz(func(t *testing.T, doc []byte) {
		b, err := Parse(doc)
		if err != nil && err.Error() == "" {
			t.Fatal("empty error message")
		}
		if err == nil && (b.Version == 0 || b.Site == "") {
			t.Fatal("bundle accepted without version or site")
		}
	})
}

func FuzzDelta(f *testing.F) {
	f.Add([]byte("a\nb\n"), 0, 1, []byte("c\n"))
	f.Fuzz(func(t *testing.T, doc []byte, from, to int, text []byte) {
		d := Delta{FromDigest: Digest(doc), ToDigest: Digest(text), Splices: []Splice{{From: from, To: to, Lines: text}}}
		if got, err := d.Apply(doc); err == nil && Digest(got) != d.ToDigest {
			t.Fatal("result does not match the delta's digest")
		}
	})
}
