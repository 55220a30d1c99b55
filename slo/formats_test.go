package slo

import (
	"testing"

	"github.com/walnutramp/walnutramp/internal/schema"
)

// TestFormats compares the encoding of the types stored on disk with
// testdata/formats.txt.
func TestFormats(t *testing.T) { schema.Check(t, image{}) }
