package consensus

import (
	"testing"

	"github.com/walnutramp/walnutramp/internal/schema"
)

// Types that are stored or sent keep their encoding.
func TestFormats(t *testing.T) {
	schema.Check(t, stored{}, VoteArgs{}, VoteReply{}, AppendArgs{}, AppendReply{}, ProposeArgs{}, ProposeReply{},
		TimeoutNowArgs{}, TimeoutNowReply{}, PingArgs{}, PingReply{})
}
