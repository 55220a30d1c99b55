package control

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
	"golang.org/x/time/rate"
)

// An update that is larger than inlineBytes is not part of the answer that
// tells of it. Nodes read it in pieces, mostly at a member of their own data
// hall, and each member hands pieces out at a bounded rate. So a large change
// that all nodes want at once leaves room on the members' links for votes,
// heartbeats and answers, and no time limit has to cover a large answer.
// Measured with 79 entries and a change of 290 kB over links of 100 and 10
// Mbit/s, in virtual time: before, 71 to 73 entries did not have it within
// 2.5 s and the leader was deposed; since, none and not.
const (
	// inlineBytes is up to where an update is part of the answer: 100 nodes
	// times this pass a link of 100 Mbit/s in 65 ms, well within a heartbeat.
	inlineBytes = 8 << 10
	// pieceBytes is the size of a piece: it passes a link of 10 Mbit/s in 26 ms.
	pieceBytes = 32 << 10
	// feedShare is the part of a member's link that pieces may take up.
	feedShare = 0.5
	// feedUnknown is the rate, in bytes a second, where the link is not known:
	// a third of 100 Mbit/s.
	feedUnknown = 4 << 20
	// feedWait bounds how long a piece waits for its turn before the asker is
	// told to come again: 100 nodes' pieces at half of 100 Mbit/s take 0.5 s.
	feedWait = 600 * time.Millisecond
)

// PieceArgs asks for a piece of an update.
type PieceArgs struct {
	From   uint64 // version that the asker holds
	To     uint64 // version that the update leads to
	Hash   uint64 // of the packed update
	Offset int    // of the piece in it
}

// PieceReply is the piece: CodeNotHeld where this member has no such update,
// CodeOverloaded where it hands out too much already.
type PieceReply struct {
	Code walnutramp.Code
	Data []byte
}

// newFeed returns what paces pieces on a link of so many bytes a second, 0 for
// an unknown one.
func newFeed(link float64) *rate.Limiter {
	pace := rate.Limit(link * feedShare)
	if link <= 0 {
		pace = feedUnknown
	}
	return rate.NewLimiter(pace, pieceBytes)
}

// Piece implements the RPC by which nodes read a large update.
func (s *Server) Piece(args PieceArgs, reply *PieceReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), feedWait)
	defer cancel()
	s.awaitVersion(args.To, relayLag)
	held, ok := s.updates.find(args.From, args.Hash)
	if !ok || args.Offset < 0 || args.Offset >= len(held.bytes) {
		reply.Code = walnutramp.CodeNotHeld
		return nil
	}
	piece := held.bytes[args.Offset:min(args.Offset+pieceBytes, len(held.bytes))]
	if err := s.feed.WaitN(ctx, len(piece)); err != nil {
		reply.Code = walnutramp.CodeOverloaded
		return nil
	}
	reply.Code, reply.Data = walnutramp.CodeOK, piece
	return nil
}

// awaitVersion waits a little until this member has applied a version.
func (s *Server) awaitVersion(version uint64, limit time.Duration) {
	late := time.NewTimer(limit)
	defer late.Stop()
	for {
		applied, _, _, changed := s.state.since(version)
		if applied.Version >= version {
			return
		}
		select {
		case <-changed:
		case <-late.C:
			return
		}
	}
}
