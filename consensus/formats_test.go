package consensus

import (
	"testing"

	"github.com/walnutramp/walnutramp/internal/schema"
)

// What is stored and sent.
func TestFormats(t *testing.T) {
	schema.Check(t, stored{}, VoteArgs{}, VoteReply{}, AppendArgs{}, AppendReply{}, ProposeArgs{}, ProposeReply{},
		TimeoutNowArgs{}, TimeoutNowReply{}, PingArgs{}, PingReply{})
}
