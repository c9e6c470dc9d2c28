// Package boolean converts truth values to numbers.
package boolean

// Int returns 1 for true and 0 for false.
func Int(value bool) int {
	if value {
		return 1
	}
	return 0
}
