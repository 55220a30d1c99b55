package control

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pack"
	"golang.org/x/time/rate"
)

// Payloads larger than maxInlineBytes are not part of the reply that announces
// them. Nodes read them in chunks, mostly from a member of their own data hall, and
// each member limits the rate of chunks. This leaves room on the members' links for
// votes, heartbeats and replies when all nodes read a large change at once; in replies,
// a large change to many nodes arrives late and costs the leader its term.
const (
	// maxInlineBytes is the largest payload sent within a reply. 100 of them pass a link
	// of 100 Mbit/s in 65 ms, well within a heartbeat.
	maxInlineBytes = 8 << 10
	// chunkBytes is the size of a chunk, which passes a link of 10 Mbit/s in 26 ms.
	chunkBytes = 32 << 10
	// chunkLinkShare is the fraction of a member's link that chunks may use.
	chunkLinkShare = 0.5
	// defaultChunkRate is the rate in bytes per second if the link's rate is unknown: a
	// third of 100 Mbit/s.
	defaultChunkRate = 4 << 20
	// chunkQueueTimeout is the time from its arrival after which a request for a chunk
	// is rejected. It includes the wait for the payload, see findCompressed. The chunks
	// of 100 nodes take 0.5 s at half of 100 Mbit/s.
	chunkQueueTimeout = 600 * time.Millisecond
)

// Payload is compressed text that a reply announces: an update of the document, or
// a target list. A long one is read in chunks.
type Payload struct {
	Inline []byte // the compressed text, if short
	Bytes  int    // size of the compressed text, if long
	Hash   uint64 // hash of the compressed text, if long
}

// empty reports whether there is no payload.
func (c *Payload) empty() bool { return len(c.Inline) == 0 && c.Bytes == 0 }

// compressed is compressed text with its hash.
type compressed struct {
	bytes []byte
	hash  uint64
}

func compress(text []byte) compressed {
	b := pack.Compress(text)
	return compressed{bytes: b, hash: xxhash.Sum64(b)}
}

// payload returns what a reply announces: the text itself if it is short, otherwise its
// size and hash.
func (p compressed) payload() Payload {
	if len(p.bytes) <= maxInlineBytes {
		return Payload{Inline: p.bytes}
	}
	return Payload{Bytes: len(p.bytes), Hash: p.hash}
}

// PieceArgs requests a chunk of a payload. On the wire a chunk is called a piece.
type PieceArgs struct {
	// From and To are the versions of the document that an update leads from and to. To
	// is 0 for a target list.
	From, To uint64
	Hash     uint64 // of the payload
	Offset   int    // of the chunk in the payload, in bytes
}

// PieceReply holds a chunk. Code is CodeNotHeld if this member does not have the
// payload, and CodeOverloaded if its rate limit is reached.
type PieceReply struct {
	Code walnutramp.Code
	Data []byte
}

// newChunkLimiter returns the rate limiter of chunks on a link with the given rate in
// bytes per second, 0 if unknown.
func newChunkLimiter(link float64) *rate.Limiter {
	limit := rate.Limit(link * chunkLinkShare)
	if link <= 0 {
		limit = defaultChunkRate
	}
	return rate.NewLimiter(limit, chunkBytes)
}

// Piece implements the RPC by which nodes read long payloads.
func (s *Server) Piece(args PieceArgs, reply *PieceReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), chunkQueueTimeout)
	defer cancel()
	text, ok := s.findCompressed(args)
	if !ok || args.Offset < 0 || args.Offset >= len(text.bytes) {
		reply.Code = walnutramp.CodeNotHeld
		return nil
	}
	chunk := text.bytes[args.Offset:min(args.Offset+chunkBytes, len(text.bytes))]
	if err := s.chunkLimiter.WaitN(ctx, len(chunk)); err != nil {
		reply.Code = walnutramp.CodeOverloaded
		return nil
	}
	reply.Code, reply.Data = walnutramp.CodeOK, chunk
	return nil
}

// findCompressed returns the payload of which a chunk is requested. It waits for up to
// relayMaxLag, since a relay may receive it later than the leader.
func (s *Server) findCompressed(args PieceArgs) (compressed, bool) {
	if args.To > 0 {
		s.awaitVersion(args.To, relayMaxLag)
		return s.updates.find(args.From, args.Hash)
	}
	if s.targets == nil {
		return compressed{}, false
	}
	return s.targets.awaitCompressed(args.Hash, relayMaxLag)
}

// awaitVersion waits until this member has applied a version, or until timeout.
func (s *Server) awaitVersion(version uint64, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		applied, _, _, changed := s.state.updateSince(version)
		if applied.Version >= version {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}
