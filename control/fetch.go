package control

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/internal/pause"
)

// Bounds of reading an update in pieces.
const (
	pieceLimit = feedWait + 400*time.Millisecond // of one piece: its turn, and the way
	piecePause = 50 * time.Millisecond           // after one that did not come
	pieceTries = 6                               // in a row without a piece
)

// document returns the newest document that an answer of a node tells of, by
// the one that this node held when it asked.
func (c *Client) document(ctx context.Context, node walnutramp.NodeName, have uint64, doc []byte, r *NewestReply) ([]byte, error) {
	packed := r.Update
	if packed == nil {
		var err error
		if packed, err = c.fetch(ctx, node, have, r); err != nil {
			return nil, err
		}
	}
	u, err := unpackUpdate(packed)
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

// fetch reads a large update in pieces: at the source that the answer names,
// or at the node that gave the answer. What has come is kept when another is
// asked.
func (c *Client) fetch(ctx context.Context, node walnutramp.NodeName, have uint64, r *NewestReply) ([]byte, error) {
	sources := []walnutramp.NodeName{node}
	if r.Source != "" && r.Source != node {
		sources = []walnutramp.NodeName{r.Source, node}
	}
	packed := make([]byte, 0, min(r.UpdateBytes, maxDocument))
	failed, source := 0, 0
	for len(packed) < r.UpdateBytes {
		args := PieceArgs{From: have, To: r.Version, Hash: r.UpdateHash, Offset: len(packed)}
		piece, err := c.piece(ctx, sources[source], args)
		if err == nil {
			packed = append(packed, piece...)
			failed = 0
			continue
		}
		if failed++; failed >= pieceTries {
			return nil, errors.Wrapf(err, "update to version %d: %d of %d bytes read", r.Version, len(packed), r.UpdateBytes)
		}
		source = (source + 1) % len(sources)
		if !pause.For(ctx, piecePause) {
			return nil, ctx.Err()
		}
	}
	if xxhash.Sum64(packed) != r.UpdateHash {
		return nil, errors.Newf("update to version %d: its pieces do not fit", r.Version)
	}
	return packed, nil
}

// piece asks a node for one piece.
func (c *Client) piece(ctx context.Context, node walnutramp.NodeName, args PieceArgs) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, pieceLimit)
	defer cancel()
	var reply PieceReply
	if err := c.peers.Call(ctx, node, Service+".Piece", args, &reply); err != nil {
		return nil, errors.Wrapf(err, "node %s", node)
	}
	if reply.Code != walnutramp.CodeOK || len(reply.Data) == 0 {
		return nil, errors.Newf("node %s answered with %v", node, reply.Code)
	}
	return reply.Data, nil
}
