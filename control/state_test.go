package control

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/bundle"
)

// documentOf returns a document of one line whose routes change with its
// version.
func documentOf(version uint64) []byte {
	var routes []string
	for i := range uint64(60) {
		timeout := uint64(1000)
		if i == version%60 {
			timeout += version
		}
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","timeout_ms":%d}`, i, timeout))
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s]}`, version, strings.Join(routes, ","))
}

func accept(s *State, version uint64) {
	doc := documentOf(version)
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := newSubmit(version, "operator", doc)
	s.submit(&sub, 0)
}

// A node that asks now and then gets to the newest document whatever version
// it holds, by deltas where it fell behind by few versions.
func TestNodeFollowsUnevenVersionsByDeltas(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 9))
	s := NewState(WithRule(AcceptHighest))
	var held uint64
	var doc []byte
	byDeltas := 0
	version := uint64(0)
	for range 400 {
		version += 1 + rng.Uint64N(40)
		accept(s, version)
		accept(s, version-1) // an older one changes nothing
		if rng.IntN(4) > 0 {
			continue
		}
		newest, deltas, whole, _ := s.since(held)
		if deltas != nil {
			byDeltas++
		}
		next, err := (&update{Deltas: deltas, Doc: whole}).apply(doc)
		require.NoError(t, err)
		require.Equal(t, string(documentOf(version)), string(next))
		require.Equal(t, newest.Digest, bundle.Digest(next))
		held, doc = newest.Version, next
	}
	require.Greater(t, byDeltas, 20)
}

func TestWholeDocumentWhereDeltasAreNoShorter(t *testing.T) {
	s := NewState(WithRule(AcceptHighest))
	accept(s, 1)
	for version := uint64(2); version < 90; version++ {
		accept(s, version)
	}
	_, deltas, whole, _ := s.since(1)
	require.Nil(t, deltas)
	require.Equal(t, string(documentOf(89)), string(whole))
	_, deltas, _, _ = s.since(88)
	require.Len(t, deltas, 1)
	_, _, whole, _ = s.since(0)
	require.NotNil(t, whole, "a node that holds nothing gets the whole")
	_, _, whole, _ = s.since(40000)
	require.Nil(t, whole)
}

func TestDeltasOutliveASnapshot(t *testing.T) {
	s, restored := NewState(WithRule(AcceptHighest)), NewState(WithRule(AcceptHighest))
	accept(s, 5)
	accept(s, 9)
	require.NoError(t, restored.Restore(s.Snapshot()))
	_, deltas, _, _ := restored.since(5)
	require.Len(t, deltas, 1)
}
