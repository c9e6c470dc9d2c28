// Package boolean counts truth values.
package boolean

// Int is 1 for true and 0 for false.
func Int(value bool) int {
	if value {
		return 1
	}
	return 0
}
