package slo

import (
	"testing"

	"github.com/walnutramp/walnutramp/internal/schema"
)

// What is stored.
func TestFormats(t *testing.T) { schema.Check(t, image{}) }
