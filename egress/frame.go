package egress

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// A frame is its kind in one byte, the length of its payload in four, and the payload. A
// request consists of a Request frame and then the client's body as it is. A response
// consists of an End frame, before it a Head frame and any number of Data frames if a
// target answered. A response without an End frame is truncated. Sent frames come first, if the
// ingress is to end silent requests.

// frameKind is the kind of a frame.
type frameKind byte

// The kinds.
const (
	frameRequest frameKind = iota + 1
	frameHead
	frameData
	frameEnd
	frameSent
)

const (
	frameHeaderSize = 5
	// maxMessage bounds an encoded message, in bytes: the head of a client's request or of
	// a target's response, and little more.
	maxMessage = 256 << 10
	// maxData bounds the payload of a Data frame, in bytes.
	maxData = 64 << 10
)

// errFrame is the error for a frame that breaks the protocol.
var errFrame = errors.New("malformed frame")

// appendMessage appends a frame with an encoded message.
func appendMessage(b []byte, kind frameKind, message any) ([]byte, error) {
	payload, err := msgpack.Marshal(message)
	if err != nil {
		return b, err
	}
	if len(payload) > maxMessage {
		return b, errors.Newf("message of %d bytes exceeds %d", len(payload), maxMessage)
	}
	return append(appendFrameHeader(b, kind, len(payload)), payload...), nil
}

func appendFrameHeader(b []byte, kind frameKind, size int) []byte {
	return binary.BigEndian.AppendUint32(append(b, byte(kind)), uint32(size))
}

// readFrameHeader reads the header of a frame and checks its size.
func readFrameHeader(r io.Reader) (frameKind, int, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, 0, err
	}
	kind, size := frameKind(header[0]), int(binary.BigEndian.Uint32(header[1:]))
	limit := maxMessage
	if kind == frameData {
		limit = maxData
	}
	if kind < frameRequest || kind > frameSent || size > limit {
		return 0, 0, errFrame
	}
	return kind, size, nil
}

// readMessage reads the payload of a frame and decodes it.
func readMessage(r io.Reader, size int, message any) error {
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return err
	}
	return msgpack.Unmarshal(payload, message)
}
