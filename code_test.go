package walnutramp_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
)

// TestCodesMatchDocumentation compares docs/CODES.md with the codes of the program.
func TestCodesMatchDocumentation(t *testing.T) {
	page, err := os.ReadFile("docs/CODES.md")
	require.NoError(t, err)
	var rows []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	var want []string
	for _, c := range walnutramp.Codes() {
		want = append(want, fmt.Sprintf("| %d | %s | %d | %s |", c.Code, c.Name, c.Status, c.Text))
	}
	require.Equal(t, want, rows)
}

func TestPositionRoundTrip(t *testing.T) {
	p := walnutramp.Position{Generation: walnutramp.NewGenerationID(7), Offset: 42}
	got, err := walnutramp.ParsePosition(p.String())
	require.NoError(t, err)
	require.Equal(t, p, got)
	id := string(p.Generation)
	for _, bad := range []string{"", ":", id, id + ":", id + ":-1", id + ":+1", id + ":01", id + ":x", id[1:] + ":1", id[:31] + "G:1", id + ":99999999999"} {
		_, err := walnutramp.ParsePosition(bad)
		require.Error(t, err, "%q", bad)
	}
}

func FuzzParsePosition(f *testing.F) {
	f.Add("0123456789abcdef0123456789abcdef:7")
	f.Add(":")
	f.Fuzz(func(t *testing.T, s string) {
		p, err := walnutramp.ParsePosition(s)
		if err == nil && p.String() != s {
			t.Fatalf("%q was parsed as %q", s, p)
		}
	})
}
