package streams

import (
	"slices"

	"quaydock/pkg/ids"
)

// union returns what is in either of two lists, in order.
func union[T ids.Route | ids.Version](a, b []T) []T {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// intersect returns what is in both of two lists that are in order.
func intersect[T ids.Route | ids.Version](a, b []T) []T {
	return slices.DeleteFunc(slices.Clone(a), func(it T) bool { return !contains(b, it) })
}

// contains reports whether something is in a list that is in order.
func contains[T ids.Route | ids.Version](list []T, it T) bool {
	_, found := slices.BinarySearch(list, it)
	return found
}
