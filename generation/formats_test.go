package generation

import (
	"testing"

	"github.com/walnutramp/walnutramp/internal/schema"
)

func TestFormats(t *testing.T) {
	schema.Check(t, ReplicateArgs{}, ReplicateReply{}, PrepareArgs{}, PrepareReply{}, FetchArgs{}, FetchReply{}, FindArgs{}, FindReply{})
}
