package pack

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExpandReversesCompress(t *testing.T) {
	for _, text := range [][]byte{{}, []byte("a"), bytes.Repeat([]byte("route,"), 50_000)} {
		packed := Compress(text)
		got, err := Expand(packed, len(text))
		require.NoError(t, err)
		require.Equal(t, string(text), string(got))
	}
}

func TestExpandRejectsDataOverLimit(t *testing.T) {
	packed := Compress(make([]byte, 1<<20))
	require.Less(t, len(packed), 16<<10)
	_, err := Expand(packed, 1<<20-1)
	require.Error(t, err)
}

func TestExpandRejectsCorruptData(t *testing.T) {
	_, err := Expand([]byte("not compressed"), 100)
	require.Error(t, err)
	packed := Compress([]byte("a text that is cut off"))
	_, err = Expand(packed[:len(packed)/2], 100)
	require.Error(t, err)
}
