package upstream

import (
	"errors"
	"fmt"
)

// Stage is how far an attempt had come when it failed. Later stages are larger.
type Stage int

// The stages, in the order in which an attempt goes through them.
const (
	NotConnected    Stage = iota // no connection was up
	NothingWritten               // a connection was up, none of the request's bytes were written
	PartlyWritten                // some of them were written: the node can't run the request
	FullyWritten                 // all of them were written: the node may run it
	ResponseStarted              // the first line of the response was read
)

var stageNames = [...]string{"not connected", "nothing written", "partly written", "fully written", "response started"}

// String returns the stage in words.
func (s Stage) String() string { return stageNames[s] }

// Error is the end of an attempt, or of a probe, without a response.
type Error struct {
	Stage     Stage // how far the request had come
	Cancelled bool  // whether Cancel ended it
	Err       error // the cause
}

// Error returns the stage and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// cancelledAt returns the error of an attempt that Cancel ended at a stage.
func cancelledAt(stage Stage) *Error { return &Error{Stage: stage, Cancelled: true, Err: errCancelled} }

// Causes of an Error that callers tell apart.
var (
	// ErrConnectionLimit ends an attempt or a probe for which no connection could be had within the pool's limit.
	ErrConnectionLimit = errors.New("connection limit reached")
	// ErrWithdrawn ends an attempt that was not written yet when its endpoint or its source was draining, or its request was
	// superseded, or the pool might not write.
	ErrWithdrawn = errors.New("withdrawn before it was written")
)

var (
	errCancelled    = errors.New("cancelled")
	errUnresponsive = errors.New("endpoint does not respond")
	errStalled      = errors.New("stalled in a response")
	errNoBuffer     = errors.New("no buffer is free for the response's body")
)
