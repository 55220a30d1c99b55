package node_test

import (
	"testing"

	"github.com/walnutramp/walnutramp/internal/schema"
	"github.com/walnutramp/walnutramp/node"
)

// TestFormats compares the encodings of types sent between nodes with testdata/formats.txt.
func TestFormats(t *testing.T) { schema.Check(t, node.TellArgs{}, node.TellReply{}) }
