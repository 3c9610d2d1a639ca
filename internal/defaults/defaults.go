// Package defaults sets defaults for settings that were omitted.
package defaults

// Set assigns value to field if the field is zero.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
