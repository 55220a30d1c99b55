package generation

import (
	"testing"

	"github.com/walnutramp/walnutramp/internal/schema"
)

// TestFormats compares the encodings of the types sent between nodes with
// testdata/formats.txt.
func TestFormats(t *testing.T) {
	schema.Check(t, ReplicateArgs{}, ReplicateReply{}, PrepareArgs{}, PrepareReply{}, FetchArgs{}, FetchReply{}, FindArgs{}, FindReply{})
}
