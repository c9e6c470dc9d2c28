// Package sourcerules has tests that check rules of the source code which the compiler and the
// linters do not know.
package sourcerules
