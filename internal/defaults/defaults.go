// Package defaults fills in settings that were left out.
package defaults

// Set puts value in field when the field is zero.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
