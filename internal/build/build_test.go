package build

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNameOfABuild(t *testing.T) {
	require.Equal(t, unknown, revisionOf(nil))
	committed := []debug.BuildSetting{{Key: "vcs", Value: "git"}, {Key: "vcs.revision", Value: "0123456789abcdef0123"}, {Key: "vcs.modified", Value: "false"}}
	require.Equal(t, "0123456789ab", revisionOf(committed))
	committed[2].Value = "true"
	require.Equal(t, "0123456789ab+", revisionOf(committed))
	require.NotEmpty(t, Name())
}
