package node_test

import (
	"testing"

	"github.com/walnutramp/walnutramp/internal/schema"
	"github.com/walnutramp/walnutramp/node"
)

// Types sent between nodes.
func TestFormats(t *testing.T) { schema.Check(t, node.TellArgs{}, node.TellReply{}) }
