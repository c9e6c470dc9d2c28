package config

import (
	"errors"
	"fmt"

	"go.starlark.net/syntax"
)

// Reasons that errors of this package wrap.
var (
	// ErrMissing says that a key that must be there is not.
	ErrMissing = errors.New("missing")
	// ErrNeedsRestart says that a value differs from the running director's and can't change while it runs.
	ErrNeedsRestart = errors.New("needs a restart")
)

var errNotPositive = errors.New("not above 0")

// KeyError says which key of a configuration file is faulty, and why.
type KeyError struct {
	Key string // with the keys that enclose it, as in "lanes[0].name"
	Err error  // the reason
}

// Error gives the key and the reason.
func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap gives the reason.
func (e *KeyError) Unwrap() error { return e.Err }

// keyErrorf returns a KeyError with a formatted reason.
func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

// ScriptError says where a Starlark script is faulty, and why. The reason is a KeyError where it concerns a key.
type ScriptError struct {
	Position syntax.Position // of the call or the key
	Err      error           // the reason
}

// Error gives file, line and reason.
func (e *ScriptError) Error() string {
	return fmt.Sprintf("%s:%d: %v", e.Position.Filename(), e.Position.Line, e.Err)
}

// Unwrap gives the reason.
func (e *ScriptError) Unwrap() error { return e.Err }
