package slo

import (
	"testing"

	"github.com/walnutramp/walnutramp/internal/schema"
)

// Types stored on disk.
func TestFormats(t *testing.T) { schema.Check(t, image{}) }
