package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
)

// chunkServers answers Piece calls, which request chunks, by node; a missing node does not
// answer.
type chunkServers map[walnutramp.NodeName]func(args PieceArgs, reply *PieceReply)

// Call implements Peers.
func (n chunkServers) Call(ctx context.Context, node walnutramp.NodeName, method string, args, reply any) error {
	answer := n[node]
	if answer == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	if method != Service+".Piece" {
		return errors.Newf("method %s", method)
	}
	answer(args.(PieceArgs), reply.(*PieceReply))
	return nil
}

// serveChunks serves chunks of a compressed text and counts the requests.
func serveChunks(p compressed, requests *int) func(PieceArgs, *PieceReply) {
	return func(args PieceArgs, reply *PieceReply) {
		*requests++
		if args.Hash != p.hash {
			reply.Code = walnutramp.CodeNotHeld
			return
		}
		reply.Code = walnutramp.CodeOK
		reply.Data = p.bytes[args.Offset:min(args.Offset+chunkBytes, len(p.bytes))]
	}
}

// longText returns incompressible text of several chunks.
func longText(chunks int) []byte {
	text := make([]byte, chunks*chunkBytes)
	rand.NewChaCha8([32]byte{1}).Read(text)
	return text
}

func TestLongPayloadIsReadFromSource(t *testing.T) {
	text := longText(5)
	p := compress(text)
	var near, far int
	nodes := chunkServers{"near": serveChunks(p, &near), "far": serveChunks(p, &far)}
	got, err := readPayload(t.Context(), nodes, "far", "near", p.payload(), PieceArgs{})
	require.NoError(t, err)
	require.Equal(t, text, got)
	require.Zero(t, far)
	require.Greater(t, near, 4)
}

func TestShortPayloadIsInline(t *testing.T) {
	got, err := readPayload(t.Context(), nil, "far", "near", compress([]byte("short")).payload(), PieceArgs{})
	require.NoError(t, err)
	require.Equal(t, "short", string(got))
}

// Guards against re-reading chunks after a switch to the other node, and against
// repeated timeouts on a source that does not answer.
func TestReadResumesAtOtherNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := compress(longText(6))
		far, near := 0, 0
		serve := serveChunks(p, &near)
		nodes := chunkServers{"far": serveChunks(p, &far), "near": func(args PieceArgs, reply *PieceReply) {
			if args.Offset > 0 {
				reply.Code = walnutramp.CodeNotHeld
				return
			}
			serve(args, reply)
		}}
		_, err := readPayload(t.Context(), nodes, "far", "near", p.payload(), PieceArgs{})
		require.NoError(t, err)
		require.Equal(t, 1, near)
		require.Equal(t, 6, far, "chunks read from the source are not read again")

		delete(nodes, "near")
		start := time.Now()
		_, err = readPayload(t.Context(), nodes, "far", "near", p.payload(), PieceArgs{})
		require.NoError(t, err)
		require.Less(t, time.Since(start), chunkTimeout+time.Second)
	})
}

func TestReadFailsIfNoNodeAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		_, err := readPayload(t.Context(), chunkServers{}, "far", "near", compress(longText(2)).payload(), PieceArgs{})
		require.Error(t, err)
		require.Less(t, time.Since(start), 5*time.Second)
	})
}

// An overloaded source is retried for a while without a switch to the other node.
func TestOverloadedSourceIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := compress(longText(2))
		requests, far := 0, 0
		ready := time.Now().Add(maxBusyWait / 2)
		serve := serveChunks(p, &requests)
		nodes := chunkServers{"far": serveChunks(p, &far), "near": func(args PieceArgs, reply *PieceReply) {
			if time.Now().Before(ready) {
				reply.Code = walnutramp.CodeOverloaded
				return
			}
			serve(args, reply)
		}}
		_, err := readPayload(t.Context(), nodes, "far", "near", p.payload(), PieceArgs{})
		require.NoError(t, err)
		require.Zero(t, far)

		ready = time.Now().Add(time.Hour)
		_, err = readPayload(t.Context(), nodes, "far", "near", p.payload(), PieceArgs{})
		require.ErrorIs(t, err, errBusy)
	})
}

func TestCorruptPayloadIsRejected(t *testing.T) {
	p := compress(longText(2))
	requests := 0
	corrupted := compressed{hash: p.hash, bytes: append([]byte{}, p.bytes...)}
	corrupted.bytes[100] ^= 1
	_, err := readPayload(t.Context(), chunkServers{"far": serveChunks(corrupted, &requests)}, "far", "", p.payload(), PieceArgs{})
	require.Error(t, err)
}

// An update can be read to its end after newer versions were accepted.
func TestUpdateRemainsReadableAfterNewerVersions(t *testing.T) {
	s := NewUnsignedServer(nil, NewState(WithRule(AcceptHighest)), nil, NewTargetList())
	accept(s.state, 1)
	submitRandom(s.state, 2)
	var first NewestReply
	s.fill(NewestArgs{Have: 1}, &first)
	require.Positive(t, first.Update.Bytes, "too large to be sent inline")
	for version := uint64(3); version < 8; version++ {
		submitRandom(s.state, version)
	}
	var chunk PieceReply
	require.NoError(t, s.Piece(PieceArgs{From: 1, To: 2, Hash: first.Update.Hash}, &chunk))
	require.Equal(t, walnutramp.CodeOK, chunk.Code)
	require.NoError(t, s.Piece(PieceArgs{From: 1, To: 2, Hash: 77}, &chunk))
	require.Equal(t, walnutramp.CodeNotHeld, chunk.Code)
	require.NoError(t, s.Piece(PieceArgs{From: 1, To: 2, Hash: first.Update.Hash, Offset: 1 << 30}, &chunk))
	require.Equal(t, walnutramp.CodeNotHeld, chunk.Code)
}

// submitRandom puts an incompressible document in force.
func submitRandom(s *State, version uint64) {
	doc := make([]byte, 4*chunkBytes)
	rand.NewChaCha8([32]byte{byte(version)}).Read(doc)
	sub := newSubmit(version, "operator", doc)
	s.submit(&sub, 0)
}

// Chunks must not use more than their share of the link.
func TestChunksAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const link = 12.5e6 // bytes per second
		s := NewUnsignedServer(nil, NewState(WithRule(AcceptHighest)), nil, NewTargetList(), WithLink(link))
		submitRandom(s.state, 1)
		var first NewestReply
		s.fill(NewestArgs{}, &first)
		start, bytes := time.Now(), 0
		for range 200 {
			var chunk PieceReply
			require.NoError(t, s.Piece(PieceArgs{To: 1, Hash: first.Update.Hash}, &chunk))
			require.Equal(t, walnutramp.CodeOK, chunk.Code)
			bytes += len(chunk.Data)
		}
		require.InDelta(t, link*chunkLinkShare, float64(bytes)/time.Since(start).Seconds(), link/20)
	})
}
