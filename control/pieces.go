package control

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pack"
	"golang.org/x/time/rate"
)

// A content that is larger than inlineBytes is not part of the answer that
// tells of it. Nodes read it in pieces, mostly at a member of their own data
// hall, and each member hands pieces out at a bounded rate. So a large change
// that all nodes want at once leaves room on the members' links for votes,
// heartbeats and answers, and no time limit has to cover a large answer.
// Measured with 79 entries and a change of 290 kB over links of 100 and 10
// Mbit/s, in virtual time: before, 71 to 73 entries did not have it within
// 2.5 s and the leader was deposed; since, none and not.
const (
	// inlineBytes is up to where a content is part of the answer: 100 nodes
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

// Content is compressed text that an answer tells of: an update of the
// document, or a list of targets. A long one is not in it, but read in pieces.
type Content struct {
	Inline []byte // the whole, where it is short
	Bytes  int    // where it is long: its size
	Hash   uint64 // and its hash
}

// none reports whether there is nothing to tell.
func (c *Content) none() bool { return len(c.Inline) == 0 && c.Bytes == 0 }

// packed is compressed text with its hash.
type packed struct {
	bytes []byte
	hash  uint64
}

func newPacked(text []byte) packed {
	b := pack.Compress(text)
	return packed{bytes: b, hash: xxhash.Sum64(b)}
}

// content returns the text as an answer tells of it.
func (p packed) content() Content {
	if len(p.bytes) <= inlineBytes {
		return Content{Inline: p.bytes}
	}
	return Content{Bytes: len(p.bytes), Hash: p.hash}
}

// PieceArgs asks for a piece of a content.
type PieceArgs struct {
	// From and To are versions of the document, where the content leads from
	// one to the other. To is 0 for a list of targets.
	From, To uint64
	Hash     uint64 // of the content
	Offset   int    // of the piece in it
}

// PieceReply is the piece: CodeNotHeld where this member has no such content,
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

// Piece implements the RPC by which nodes read a long content.
func (s *Server) Piece(args PieceArgs, reply *PieceReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), feedWait)
	defer cancel()
	held, ok := s.content(args)
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

// content returns what a piece is asked of.
func (s *Server) content(args PieceArgs) (packed, bool) {
	if args.To > 0 {
		s.awaitVersion(args.To, relayLag)
		return s.updates.find(args.From, args.Hash)
	}
	if s.roster == nil {
		return packed{}, false
	}
	return s.roster.await(args.Hash, relayLag)
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
