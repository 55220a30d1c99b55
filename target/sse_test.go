package target

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEventReader(t *testing.T) {
	r := NewEventReader(strings.NewReader(": hello\n\nid: 7\ndata: a\ndata:b\n\nevent: x\ndata: c\n\ndata: cut off"))
	e, err := r.Next()
	require.NoError(t, err)
	require.Equal(t, Event{ID: "7", Data: "a\nb"}, e)
	e, err = r.Next()
	require.NoError(t, err)
	require.Equal(t, Event{Name: "x", Data: "c"}, e)
	_, err = r.Next()
	require.Error(t, err, "a truncated event is discarded")
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: {}\n\n")
	f.Fuzz(func(t *testing.T, s string) {
		r := NewEventReader(strings.NewReader(s))
		for range len(s) + 1 {
			if _, err := r.Next(); err != nil {
				return
			}
		}
		t.Fatal("more events than bytes")
	})
}
