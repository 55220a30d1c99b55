package control

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/internal/pack"
	"github.com/walnutramp/walnutramp/internal/pause"
)

// Bounds of reading a content in pieces.
const (
	pieceLimit = feedWait + 400*time.Millisecond // of one piece: its turn, and the way
	piecePause = 50 * time.Millisecond           // after one that did not come
	pieceTries = 4                               // in a row that failed: each node twice
	pieceBusy  = 5 * time.Second                 // without a piece, while nodes say that it is not its turn
)

// errBusy says that a node hands out too much already: the piece comes later.
var errBusy = errors.New("other nodes' pieces come first")

// document returns the newest document that an answer of a node tells of, by
// the one that this node held when it asked.
func (c *Client) document(ctx context.Context, node walnutramp.NodeName, have uint64, doc []byte, r *NewestReply) ([]byte, error) {
	text, err := readContent(ctx, c.peers, node, r.Source, r.Update, PieceArgs{From: have, To: r.Version})
	if err != nil {
		return nil, err
	}
	u, err := decodeUpdate(text)
	if err != nil {
		return nil, err
	}
	next, err := u.apply(doc)
	if err != nil {
		return nil, err
	}
	if bundle.Digest(next) != r.Digest {
		return nil, errors.Newf("version %d has another digest", r.Version)
	}
	return next, nil
}

// readContent returns the text of a content that an answer of a node tells of.
// A long one is read in pieces at the source that the answer names, or at the
// node itself. What has come is kept when the other is asked.
func readContent(ctx context.Context, peers Peers, node, source walnutramp.NodeName, c Content, args PieceArgs) ([]byte, error) {
	if c.Inline != nil {
		return pack.Expand(c.Inline, maxDocument)
	}
	from := []walnutramp.NodeName{node}
	if source != "" && source != node {
		from = []walnutramp.NodeName{source, node}
	}
	args.Hash = c.Hash
	read := make([]byte, 0, min(c.Bytes, maxDocument))
	failed, turn, came := 0, 0, time.Now()
	for len(read) < c.Bytes {
		args.Offset = len(read)
		piece, err := readPiece(ctx, peers, from[turn], args)
		if err == nil {
			read = append(read, piece...)
			failed, came = 0, time.Now()
			continue
		}
		if !errors.Is(err, errBusy) {
			failed++
			turn = (turn + 1) % len(from)
		}
		if failed >= pieceTries || time.Since(came) > pieceBusy {
			return nil, errors.Wrapf(err, "%d of %d bytes read", len(read), c.Bytes)
		}
		if !pause.For(ctx, piecePause) {
			return nil, ctx.Err()
		}
	}
	if xxhash.Sum64(read) != c.Hash {
		return nil, errors.New("the pieces do not fit")
	}
	return pack.Expand(read, maxDocument)
}

// readPiece asks a node for one piece.
func readPiece(ctx context.Context, peers Peers, node walnutramp.NodeName, args PieceArgs) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, pieceLimit)
	defer cancel()
	var reply PieceReply
	if err := peers.Call(ctx, node, Service+".Piece", args, &reply); err != nil {
		return nil, errors.Wrapf(err, "node %s", node)
	}
	if reply.Code == walnutramp.CodeOverloaded {
		return nil, errors.Wrapf(errBusy, "node %s", node)
	}
	if reply.Code != walnutramp.CodeOK || len(reply.Data) == 0 {
		return nil, errors.Newf("node %s answered with %v", node, reply.Code)
	}
	return reply.Data, nil
}
