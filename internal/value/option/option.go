// Package option provides a value that may be absent, for greengagetally-platform.
package option

// Option holds a value or nothing; the zero value holds nothing.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an option that holds value.
func Some[T any](value T) Option[T] {
	return Option[T]{value: value, present: true}
}

// None returns an option that holds nothing.
func None[T any]() Option[T] {
	return Option[T]{}
}

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) {
	return o.value, o.present
}

// Or returns the value, or fallback when the option holds nothing.
func (o Option[T]) Or(fallback T) T {
	if !o.present {
		return fallback
	}

	return o.value
}
