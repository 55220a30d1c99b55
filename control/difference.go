package control

import "slices"

// difference returns what turns one list into another, both sorted by key: the keys that
// are gone, and what is new or changed. Of several elements with one key, all are put
// if one changed.
func difference[T comparable](from, to []T, key func(T) string) (removed []string, put []T) {
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(to) == 0 || len(from) > 0 && key(from[0]) < key(to[0]):
			was := alike(from, key)
			removed = append(removed, key(was[0]))
			from = from[len(was):]
		case len(from) == 0 || key(to[0]) < key(from[0]):
			is := alike(to, key)
			put = append(put, is...)
			to = to[len(is):]
		default:
			was, is := alike(from, key), alike(to, key)
			if !slices.Equal(was, is) {
				put = append(put, is...)
			}
			from, to = from[len(was):], to[len(is):]
		}
	}
	return removed, put
}

// alike returns the first elements of a list that have one key.
func alike[T comparable](list []T, key func(T) string) []T {
	n := 1
	for n < len(list) && key(list[n]) == key(list[0]) {
		n++
	}
	return list[:n]
}

// applied returns a list with a difference made in it.
func applied[T any](list []T, removed []string, put []T, key func(T) string) []T {
	out := make(map[string]bool, len(removed)+len(put))
	for _, key := range removed {
		out[key] = true
	}
	for _, e := range put {
		out[key(e)] = true
	}
	next := make([]T, 0, len(list)+len(put))
	for _, e := range list {
		if !out[key(e)] {
			next = append(next, e)
		}
	}
	return append(next, put...)
}
