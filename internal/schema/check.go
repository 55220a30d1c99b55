package schema

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// updateVariable has Check write what it finds in place of comparing it.
const updateVariable = "UPDATE_GOLDEN"

// Check compares the types of values to what testdata/formats.txt of the test's package
// says of them. Who changes a field there has a format that older builds don't know:
// docs/design/formats.md says what that asks for.
func Check(t *testing.T, values ...any) {
	t.Helper()
	const name = "testdata/formats.txt"
	found := Of(values...)
	if os.Getenv(updateVariable) != "" {
		require.NoError(t, os.MkdirAll(filepath.Dir(name), 0o755))
		require.NoError(t, os.WriteFile(name, []byte(found), 0o644))
	}
	kept, err := os.ReadFile(name)
	require.NoError(t, err)
	require.Equal(t, string(kept), found, "a format has changed: see docs/design/formats.md")
}
