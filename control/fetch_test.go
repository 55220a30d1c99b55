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

// pieceNodes answers questions for pieces by node; one that is not there is
// silent.
type pieceNodes map[walnutramp.NodeName]func(args PieceArgs, reply *PieceReply)

// Call implements Peers.
func (n pieceNodes) Call(ctx context.Context, node walnutramp.NodeName, method string, args, reply any) error {
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

// holder hands out pieces of a content and counts the questions.
func holder(p packed, asked *int) func(PieceArgs, *PieceReply) {
	return func(args PieceArgs, reply *PieceReply) {
		*asked++
		if args.Hash != p.hash {
			reply.Code = walnutramp.CodeNotHeld
			return
		}
		reply.Code = walnutramp.CodeOK
		reply.Data = p.bytes[args.Offset:min(args.Offset+pieceBytes, len(p.bytes))]
	}
}

// longText is a text of several pieces that does not compress.
func longText(pieces int) []byte {
	text := make([]byte, pieces*pieceBytes)
	rand.NewChaCha8([32]byte{1}).Read(text)
	return text
}

func TestLongContentIsReadAtItsSource(t *testing.T) {
	text := longText(5)
	p := newPacked(text)
	var near, far int
	nodes := pieceNodes{"near": holder(p, &near), "far": holder(p, &far)}
	got, err := readContent(t.Context(), nodes, "far", "near", p.content(), PieceArgs{})
	require.NoError(t, err)
	require.Equal(t, text, got)
	require.Zero(t, far)
	require.Greater(t, near, 4)
}

func TestShortContentIsPartOfTheAnswer(t *testing.T) {
	got, err := readContent(t.Context(), nil, "far", "near", newPacked([]byte("short")).content(), PieceArgs{})
	require.NoError(t, err)
	require.Equal(t, "short", string(got))
}

// A source that is silent, or that falls behind, costs one wait; what has come
// is not read again.
func TestReadingGoesOnAtTheOtherNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacked(longText(6))
		far, near := 0, 0
		stops := holder(p, &near)
		nodes := pieceNodes{"far": holder(p, &far), "near": func(args PieceArgs, reply *PieceReply) {
			if args.Offset > 0 {
				reply.Code = walnutramp.CodeNotHeld
				return
			}
			stops(args, reply)
		}}
		_, err := readContent(t.Context(), nodes, "far", "near", p.content(), PieceArgs{})
		require.NoError(t, err)
		require.Equal(t, 1, near)
		require.Equal(t, 6, far, "pieces that the source had given are not read again")

		delete(nodes, "near")
		began := time.Now()
		_, err = readContent(t.Context(), nodes, "far", "near", p.content(), PieceArgs{})
		require.NoError(t, err)
		require.Less(t, time.Since(began), pieceLimit+time.Second)
	})
}

func TestReadingEndsWhereNobodyAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		_, err := readContent(t.Context(), pieceNodes{}, "far", "near", newPacked(longText(2)).content(), PieceArgs{})
		require.Error(t, err)
		require.Less(t, time.Since(began), 5*time.Second)
	})
}

// A node that is told to come again does so for a while, and the other node is
// not burdened with it.
func TestBusySourceIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacked(longText(2))
		asked, far := 0, 0
		ready := time.Now().Add(pieceBusy / 2)
		serve := holder(p, &asked)
		nodes := pieceNodes{"far": holder(p, &far), "near": func(args PieceArgs, reply *PieceReply) {
			if time.Now().Before(ready) {
				reply.Code = walnutramp.CodeOverloaded
				return
			}
			serve(args, reply)
		}}
		_, err := readContent(t.Context(), nodes, "far", "near", p.content(), PieceArgs{})
		require.NoError(t, err)
		require.Zero(t, far)

		ready = time.Now().Add(time.Hour)
		_, err = readContent(t.Context(), nodes, "far", "near", p.content(), PieceArgs{})
		require.ErrorIs(t, err, errBusy)
	})
}

func TestPiecesThatDoNotFitAreNotTaken(t *testing.T) {
	p := newPacked(longText(2))
	asked := 0
	garbled := packed{hash: p.hash, bytes: append([]byte{}, p.bytes...)}
	garbled.bytes[100] ^= 1
	_, err := readContent(t.Context(), pieceNodes{"far": holder(garbled, &asked)}, "far", "", p.content(), PieceArgs{})
	require.Error(t, err)
}

// A node that reads an update finishes it though newer versions have come.
func TestUpdateIsKeptWhileItIsRead(t *testing.T) {
	s := NewOpenServer(nil, NewState(WithRule(AcceptHighest)), nil, NewRoster())
	accept(s.state, 1)
	submitRandom(s.state, 2)
	var first NewestReply
	s.fill(NewestArgs{Have: 1}, &first)
	require.Positive(t, first.Update.Bytes, "too large for the answer")
	for version := uint64(3); version < 8; version++ {
		submitRandom(s.state, version)
	}
	var piece PieceReply
	require.NoError(t, s.Piece(PieceArgs{From: 1, To: 2, Hash: first.Update.Hash}, &piece))
	require.Equal(t, walnutramp.CodeOK, piece.Code)
	require.NoError(t, s.Piece(PieceArgs{From: 1, To: 2, Hash: 77}, &piece))
	require.Equal(t, walnutramp.CodeNotHeld, piece.Code)
	require.NoError(t, s.Piece(PieceArgs{From: 1, To: 2, Hash: first.Update.Hash, Offset: 1 << 30}, &piece))
	require.Equal(t, walnutramp.CodeNotHeld, piece.Code)
}

// submitRandom puts a document in force that does not compress.
func submitRandom(s *State, version uint64) {
	doc := make([]byte, 4*pieceBytes)
	rand.NewChaCha8([32]byte{byte(version)}).Read(doc)
	sub := newSubmit(version, "operator", doc)
	s.submit(&sub, 0)
}

// Pieces leave room on the link: a member hands them out at a bounded rate.
func TestPiecesArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const link = 12.5e6 // bytes a second
		s := NewOpenServer(nil, NewState(WithRule(AcceptHighest)), nil, NewRoster(), WithLink(link))
		submitRandom(s.state, 1)
		var first NewestReply
		s.fill(NewestArgs{}, &first)
		began, bytes := time.Now(), 0
		for range 200 {
			var piece PieceReply
			require.NoError(t, s.Piece(PieceArgs{To: 1, Hash: first.Update.Hash}, &piece))
			require.Equal(t, walnutramp.CodeOK, piece.Code)
			bytes += len(piece.Data)
		}
		require.InDelta(t, link*feedShare, float64(bytes)/time.Since(began).Seconds(), link/20)
	})
}
