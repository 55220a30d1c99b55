package control

import "slices"

// diff returns what turns one list into another: the keys to remove, and the new or
// changed elements to put. Both lists must be sorted by key. If one of several
// elements with the same key changed, all of them are put.
func diff[T comparable](from, to []T, key func(T) string) (removed []string, put []T) {
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(to) == 0 || len(from) > 0 && key(from[0]) < key(to[0]):
			oldRun := keyRun(from, key)
			removed = append(removed, key(oldRun[0]))
			from = from[len(oldRun):]
		case len(from) == 0 || key(to[0]) < key(from[0]):
			newRun := keyRun(to, key)
			put = append(put, newRun...)
			to = to[len(newRun):]
		default:
			oldRun, newRun := keyRun(from, key), keyRun(to, key)
			if !slices.Equal(oldRun, newRun) {
				put = append(put, newRun...)
			}
			from, to = from[len(oldRun):], to[len(newRun):]
		}
	}
	return removed, put
}

// keyRun returns the leading elements of a list that have the same key.
func keyRun[T comparable](list []T, key func(T) string) []T {
	n := 1
	for n < len(list) && key(list[n]) == key(list[0]) {
		n++
	}
	return list[:n]
}

// applyDiff returns a copy of a list with a diff applied. The result is not sorted.
func applyDiff[T any](list []T, removed []string, put []T, key func(T) string) []T {
	replaced := make(map[string]bool, len(removed)+len(put))
	for _, key := range removed {
		replaced[key] = true
	}
	for _, e := range put {
		replaced[key(e)] = true
	}
	result := make([]T, 0, len(list)+len(put))
	for _, e := range list {
		if !replaced[key(e)] {
			result = append(result, e)
		}
	}
	return append(result, put...)
}
