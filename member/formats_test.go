package member

import (
	"testing"

	"github.com/walnutramp/walnutramp/internal/schema"
)

// TestFormats guards the encoding of RPC messages.
func TestFormats(t *testing.T) {
	schema.Check(t, PingArgs{}, PingReply{}, IndirectArgs{}, IndirectReply{})
}
