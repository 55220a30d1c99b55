package schema

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// updateVariable is the environment variable that makes Check rewrite the golden file.
const updateVariable = "UPDATE_GOLDEN"

// Check compares the description of the values' types with the golden file
// testdata/formats.txt of the package under test. A difference means that older
// builds may not decode the format; see docs/design/formats.md.
func Check(t *testing.T, values ...any) {
	t.Helper()
	const name = "testdata/formats.txt"
	got := Of(values...)
	if os.Getenv(updateVariable) != "" {
		require.NoError(t, os.MkdirAll(filepath.Dir(name), 0o755))
		require.NoError(t, os.WriteFile(name, []byte(got), 0o644))
	}
	want, err := os.ReadFile(name)
	require.NoError(t, err)
	require.Equal(t, string(want), got, "encoded format differs from testdata/formats.txt; see docs/design/formats.md")
}
