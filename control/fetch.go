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

// Bounds of reading a payload in chunks.
const (
	chunkTimeout     = chunkQueueTimeout + 400*time.Millisecond // of one chunk: queueing and transfer
	chunkRetryDelay  = 50 * time.Millisecond                    // after a failed request
	maxChunkFailures = 4                                        // consecutive failures, of two nodes in turn
	maxBusyWait      = 5 * time.Second                          // without a chunk, while nodes are overloaded
)

// errBusy reports that a node has reached its rate limit for chunks.
var errBusy = errors.New("rate limit of chunks reached")

// document returns the newest document from a node's reply. base is the document at
// baseVersion, which the client held when it asked.
func (c *Client) document(ctx context.Context, node walnutramp.NodeName, baseVersion uint64, base []byte, r *NewestReply) ([]byte, error) {
	text, err := readPayload(ctx, c.peers, node, r.Source, r.Update, PieceArgs{From: baseVersion, To: r.Version})
	if err != nil {
		return nil, err
	}
	u, err := decodeUpdate(text)
	if err != nil {
		return nil, err
	}
	next, err := u.apply(base)
	if err != nil {
		return nil, err
	}
	if bundle.Digest(next) != r.Digest {
		return nil, errors.Newf("digest mismatch in version %d", r.Version)
	}
	return next, nil
}

// readPayload returns the text of a payload that a node's reply announces. A long
// one is read in chunks from source, or from node itself. If one fails, reading
// resumes at the other.
func readPayload(ctx context.Context, peers Peers, node, source walnutramp.NodeName, c Payload, args PieceArgs) ([]byte, error) {
	if c.Inline != nil {
		return pack.Expand(c.Inline, maxDocument)
	}
	sources := []walnutramp.NodeName{node}
	if source != "" && source != node {
		sources = []walnutramp.NodeName{source, node}
	}
	args.Hash = c.Hash
	read := make([]byte, 0, min(c.Bytes, maxDocument))
	failures, current, lastProgress := 0, 0, time.Now()
	for len(read) < c.Bytes {
		args.Offset = len(read)
		chunk, err := readChunk(ctx, peers, sources[current], args)
		if err == nil {
			read = append(read, chunk...)
			failures, lastProgress = 0, time.Now()
			continue
		}
		if !errors.Is(err, errBusy) {
			failures++
			current = (current + 1) % len(sources)
		}
		if failures >= maxChunkFailures || time.Since(lastProgress) > maxBusyWait {
			return nil, errors.Wrapf(err, "payload incomplete: got %d of %d bytes", len(read), c.Bytes)
		}
		if !pause.For(ctx, chunkRetryDelay) {
			return nil, ctx.Err()
		}
	}
	if xxhash.Sum64(read) != c.Hash {
		return nil, errors.New("payload hash mismatch")
	}
	return pack.Expand(read, maxDocument)
}

// readChunk requests one chunk from a node.
func readChunk(ctx context.Context, peers Peers, node walnutramp.NodeName, args PieceArgs) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
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
