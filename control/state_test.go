package control

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
)

// documentOf returns a one-line document in which one route differs by version.
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

// accept submits documentOf(version); the result is ignored.
func accept(s *State, version uint64) {
	doc := documentOf(version)
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := newSubmit(version, "operator", doc)
	s.submit(&sub, 0)
}

// A node that polls irregularly must reach the newest document, by deltas where the
// gap is small.
func TestClientFollowsVersionsByDeltas(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 9))
	s := NewState(WithRule(AcceptHighest))
	var held uint64
	var doc []byte
	byDeltas := 0
	version := uint64(0)
	for range 400 {
		version += 1 + rng.Uint64N(40)
		accept(s, version)
		accept(s, version-1) // an older version changes nothing
		if rng.IntN(4) > 0 {
			continue
		}
		newest, deltas, whole, _ := s.updateSince(held)
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

func TestWholeDocumentIfDeltasAreNotShorter(t *testing.T) {
	s := NewState(WithRule(AcceptHighest))
	accept(s, 1)
	for version := uint64(2); version < 90; version++ {
		accept(s, version)
	}
	_, deltas, whole, _ := s.updateSince(1)
	require.Nil(t, deltas)
	require.Equal(t, string(documentOf(89)), string(whole))
	_, deltas, _, _ = s.updateSince(88)
	require.Len(t, deltas, 1)
	_, _, whole, _ = s.updateSince(0)
	require.NotNil(t, whole, "a node without a document gets the whole one")
	// A requester ahead of this member gets nothing.
	_, _, whole, _ = s.updateSince(40000)
	require.Nil(t, whole)
}

func TestDeltasSurviveSnapshot(t *testing.T) {
	s, restored := NewState(WithRule(AcceptHighest)), NewState(WithRule(AcceptHighest))
	accept(s, 5)
	accept(s, 9)
	require.NoError(t, restored.Restore(s.Snapshot()))
	_, deltas, _, _ := restored.updateSince(5)
	require.Len(t, deltas, 1)
}

// Logs of older builds with uncompressed documents must lead to the same state.
func TestUncompressedLogIsRead(t *testing.T) {
	older, newer := NewState(WithRule(AcceptHighest)), NewState(WithRule(AcceptHighest))
	for version := uint64(1); version < 6; version++ {
		doc := documentOf(version)
		plain := Submit{Version: version, Digest: bundle.Digest(doc), Operator: "operator", Doc: doc}
		require.Equal(t, walnutramp.CodeOK, older.submit(&plain, 0).Code)
		accept(newer, version)
	}
	require.Equal(t, newer.Snapshot(), older.Snapshot())
}

func TestCorruptDocumentIsRejected(t *testing.T) {
	s := NewState(WithRule(AcceptHighest))
	accept(s, 1)
	sub := Submit{Version: 2, Digest: "d", Operator: "operator", Packed: []byte("no compressed text")}
	require.Equal(t, walnutramp.CodeBundleInvalid, s.submit(&sub, 0).Code)
	newest, _, doc, _ := s.updateSince(0)
	require.Equal(t, uint64(1), newest.Version)
	require.Equal(t, string(documentOf(1)), string(doc))
}

// Deltas that are longer than the document are never sent, so they must not be
// retained in memory or in snapshots.
func TestLongDeltasArePruned(t *testing.T) {
	s := NewState(WithRule(AcceptHighest))
	for version := uint64(1); version < 20; version++ {
		submitRandom(s, version)
	}
	require.Empty(t, s.deltas)
	require.Less(t, len(s.Snapshot()), 2*len(s.doc))
}
