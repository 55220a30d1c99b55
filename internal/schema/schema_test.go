package schema_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/schema"
)

type inner struct {
	Weight float64
	hidden int
}

type outer struct {
	Name  string           `msgpack:"n,omitempty"`
	Next  *outer           `msgpack:"x"`
	Parts map[string]inner `msgpack:"p"`
}

func TestFieldsOfAllTypesAreDescribed(t *testing.T) {
	_ = inner{hidden: 1} // a use of the field, which must not be described
	require.Equal(t, "schema_test.inner\n\tWeight float64 \n\nschema_test.outer\n\tName string n,omitempty\n"+
		"\tNext *schema_test.outer x\n\tParts map[string]schema_test.inner p\n", schema.Of([]outer{}))
}
