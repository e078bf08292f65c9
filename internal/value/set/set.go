// Package set provides an immutable set of comparable values to both programs.
package set

import (
	"cmp"
	"slices"
)

// Set is an immutable set; the zero value is empty.
type Set[T comparable] struct {
	members map[T]struct{}
}

// New returns a set of the given members.
func New[T comparable](members ...T) Set[T] {
	s := Set[T]{members: make(map[T]struct{}, len(members))}
	for _, m := range members {
		s.members[m] = struct{}{}
	}

	return s
}

// Has reports whether member belongs to the set.
func (s Set[T]) Has(member T) bool {
	_, ok := s.members[member]

	return ok
}

// Len returns the number of members.
func (s Set[T]) Len() int {
	return len(s.members)
}

// With returns a set that also holds the given members.
func (s Set[T]) With(members ...T) Set[T] {
	next := New(members...)
	for m := range s.members {
		next.members[m] = struct{}{}
	}

	return next
}

// Without returns a set that holds none of the given members.
func (s Set[T]) Without(members ...T) Set[T] {
	removed := New(members...)
	next := New[T]()
	for m := range s.members {
		if !removed.Has(m) {
			next.members[m] = struct{}{}
		}
	}

	return next
}

// Sorted returns the members of s in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T {
	sorted := make([]T, 0, len(s.members))
	for m := range s.members {
		sorted = append(sorted, m)
	}
	slices.Sort(sorted)

	return sorted
}
