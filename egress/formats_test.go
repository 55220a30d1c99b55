package egress

import (
	"testing"

	"github.com/walnutramp/walnutramp/internal/schema"
)

// TestFormats compares the messages between nodes with testdata/formats.txt.
func TestFormats(t *testing.T) { schema.Check(t, Request{}, Sent{}, Head{}, End{}) }
