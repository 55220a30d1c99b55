package member

import (
	"testing"

	"github.com/walnutramp/walnutramp/internal/schema"
)

// What is sent.
func TestFormats(t *testing.T) {
	schema.Check(t, PingArgs{}, PingReply{}, IndirectArgs{}, IndirectReply{})
}
