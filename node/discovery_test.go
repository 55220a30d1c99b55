package node

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/rawserver"
)

// requireNoAnswer checks that malformed answers of the platform count as none.
func requireNoAnswer(t *testing.T, answers map[string]string) {
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var d net.Dialer
			_, err := newPlatformClient(d.DialContext).R().SetContext(t.Context()).Get("http://" + rawserver.New(t, text) + "/")
			require.Error(t, err)
		})
	}
}

func TestAnswersWithAMalformedStatusAreNone(t *testing.T) {
	requireNoAnswer(t, rawserver.MalformedStatuses)
}

func TestAnswersWithMalformedNamesAreNone(t *testing.T) {
	requireNoAnswer(t, rawserver.MalformedNames)
}
