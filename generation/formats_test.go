package generation

import (
	"testing"

	"github.com/walnutramp/walnutramp/internal/schema"
)

// What is sent.
func TestFormats(t *testing.T) {
	schema.Check(t, ReplicateArgs{}, ReplicateReply{}, PrepareArgs{}, PrepareReply{}, FetchArgs{}, FetchReply{}, FindArgs{}, FindReply{})
}
