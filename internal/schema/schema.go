// Package schema writes down the fields of types that are stored or sent, so that
// tests see when one of them changes.
package schema

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// module is how the paths of this module's packages begin: only their types are
// described field by field.
const module = "github.com/walnutramp/walnutramp"

// Of describes the types of values, and all types of this module that they are made
// of: a line for each field, with its type and its msgpack name if it has one.
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

// describe adds a type, and those that it is made of.
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
	if _, done := seen[t]; done || !strings.HasPrefix(t.PkgPath(), module) {
		return
	}
	seen[t] = "" // it may be made of itself
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", t)
	for i := range t.NumField() {
		f := t.Field(i)
		if !f.IsExported() && f.Name != "_msgpack" {
			continue // neither codec writes it
		}
		fmt.Fprintf(&b, "\t%s %s %s\n", f.Name, f.Type, f.Tag.Get("msgpack"))
		describe(f.Type, seen)
	}
	seen[t] = b.String()
}
