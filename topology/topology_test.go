package topology

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDistance(t *testing.T) {
	m := New("a1", map[string]string{"a1": "a", "a2": "a", "b1": "b"})
	require.Equal(t, SameHall, m.Distance("a1"))
	require.Equal(t, SameRegion, m.Distance("a2"))
	require.Equal(t, OtherRegion, m.Distance("b1"))
	require.Equal(t, SameRegion, m.Distance("unlisted"))
	require.Equal(t, []string{"a", "b"}, m.Regions())
	require.True(t, m.MultiRegion())
}

func TestSiteWithoutRegions(t *testing.T) {
	var m Map
	require.Equal(t, SameRegion, m.Distance("other"))
	require.False(t, m.MultiRegion())
	require.False(t, New("a1", map[string]string{"a1": "a", "a2": "a"}).MultiRegion())
}
