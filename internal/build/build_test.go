package build

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestName(t *testing.T) {
	require.Equal(t, unknown, vcsRevision(nil))
	settings := []debug.BuildSetting{{Key: "vcs", Value: "git"}, {Key: "vcs.revision", Value: "0123456789abcdef0123"}, {Key: "vcs.modified", Value: "false"}}
	require.Equal(t, "0123456789ab", vcsRevision(settings))
	settings[2].Value = "true"
	require.Equal(t, "0123456789ab+", vcsRevision(settings))
	require.NotEmpty(t, Name())
}
