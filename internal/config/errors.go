package config

import (
	"errors"
	"fmt"

	"go.starlark.net/syntax"
)

// Errors that the errors of this package wrap.
var (
	// ErrMissing reports that a required key is missing.
	ErrMissing = errors.New("missing")
	// ErrNeedsRestart reports that a value differs from the running director's and can change only
	// with a restart.
	ErrNeedsRestart = errors.New("needs a restart")
)

var errNotPositive = errors.New("not above 0")

// KeyError reports which key of a configuration file is invalid, and why.
type KeyError struct {
	Key string // full path, such as "lanes[0].name"
	Err error  // the reason
}

// Error returns the key and the reason.
func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *KeyError) Unwrap() error { return e.Err }

// keyErrorf returns a KeyError with a formatted reason.
func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

// ScriptError reports where a Starlark script is invalid, and why. The reason is a KeyError if it
// concerns a key.
type ScriptError struct {
	Position syntax.Position // of the call or the key
	Err      error           // the reason
}

// Error returns the file, the line and the reason.
func (e *ScriptError) Error() string {
	return fmt.Sprintf("%s:%d: %v", e.Position.Filename(), e.Position.Line, e.Err)
}

// Unwrap returns the reason.
func (e *ScriptError) Unwrap() error { return e.Err }
