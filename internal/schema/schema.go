// Package schema describes the fields of serialized types, so that tests detect
// changes of stored and wire formats.
package schema

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// modulePath is the path of this module. Types of other modules are not described.
const modulePath = "github.com/walnutramp/walnutramp"

// Of describes the struct types of this module that the values are made of,
// recursively through pointers, slices, arrays and maps but not interfaces: one line
// per type, and one per field with its type and msgpack tag.
func Of(values ...any) string {
	seen := map[reflect.Type]string{}
	for _, v := range values {
		describe(reflect.TypeOf(v), seen)
	}
	var all []string
	for _, text := range seen {
		all = append(all, text)
	}
	slices.Sort(all)
	return strings.Join(all, "\n")
}

// describe adds the struct types reachable from t to seen, which holds the
// descriptions by type.
func describe(t reflect.Type, seen map[reflect.Type]string) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		describe(t.Elem(), seen)
	case reflect.Map:
		describe(t.Key(), seen)
		describe(t.Elem(), seen)
	case reflect.Struct:
		describeStruct(t, seen)
	}
}

func describeStruct(t reflect.Type, seen map[reflect.Type]string) {
	if _, done := seen[t]; done || !strings.HasPrefix(t.PkgPath(), modulePath) {
		return
	}
	seen[t] = "" // stops the recursion for recursive types
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", t)
	for i := range t.NumField() {
		f := t.Field(i)
		if !f.IsExported() && f.Name != "_msgpack" {
			continue // not encoded; the tag of _msgpack tells how the struct is
		}
		fmt.Fprintf(&b, "\t%s %s %s\n", f.Name, f.Type, f.Tag.Get("msgpack"))
		describe(f.Type, seen)
	}
	seen[t] = b.String()
}
