package eventstream

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestEventsAreReadUnchanged(t *testing.T) {
	text := "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: cut"
	for _, source := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		r := NewReader(source)
		var whole strings.Builder
		var ids []int64
		for {
			e, err := r.Next()
			if err != nil {
				require.ErrorIs(t, err, io.EOF)
				break
			}
			whole.Write(e.Raw)
			if e.HasID {
				ids = append(ids, e.ID)
			}
		}
		require.Equal(t, []int64{1, 2}, ids) // event 3 is truncated, so it is the remainder
		require.Equal(t, text, whole.String()+string(r.Remainder()))
		require.Equal(t, "id: 3\ndata: cut", string(r.Remainder()))
	}
}

func TestEventTooLong(t *testing.T) {
	r := NewReader(strings.NewReader("data: " + strings.Repeat("x", MaxEvent) + "\n\n"))
	_, err := r.Next()
	require.ErrorIs(t, err, ErrTooLong)
}

func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: x\n\n\nid:")
	f.Add("\r\n\r\nid: 99999999999999999999\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := NewReader(strings.NewReader(text))
		var whole strings.Builder
		for {
			e, err := r.Next()
			if err != nil {
				break
			}
			whole.Write(e.Raw)
		}
		require.Equal(t, text, whole.String()+string(r.Remainder()))
	})
}

func TestOnlyEventsWithADataFieldHaveData(t *testing.T) {
	for text, want := range map[string]bool{
		"id: 1\ndata: a\n\n": true, "data\n\n": true, "data:\r\n\r\n": true, "version: 2\ndata:a\n\n": true,
		": data: a\n\n": false, "\n": false, "id: 1\n\n": false, "database: a\n\n": false, "event: data\n\n": false,
	} {
		e, err := NewReader(strings.NewReader(text)).Next()
		require.NoError(t, err)
		require.Equal(t, want, e.HasData, "%q", text)
	}
}
