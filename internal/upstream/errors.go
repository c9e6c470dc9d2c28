package upstream

import (
	"errors"
	"fmt"
	"syscall"
)

// Stage is how far an attempt had progressed when it failed. Later stages have larger values.
type Stage int

// The stages, in the order in which an attempt passes through them.
const (
	NotConnected    Stage = iota // the connection was not open
	NothingWritten               // the connection was open, but no byte of the request was written
	PartlyWritten                // some bytes were written: the node cannot run the request
	FullyWritten                 // all bytes were written: the node may run the request
	ResponseStarted              // the first line of the response was read
)

var stageNames = [...]string{"not connected", "nothing written", "partly written", "fully written", "response started"}

// String returns a description of the stage for log lines and error texts.
func (s Stage) String() string { return stageNames[s] }

// Error reports that an attempt or a probe ended without a response.
type Error struct {
	Stage     Stage // how far the request had progressed
	Cancelled bool  // whether Cancel ended the attempt
	Err       error // the cause
}

// Error returns the stage and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// cancelledAt returns the error of an attempt that Cancel ended at the given stage.
func cancelledAt(stage Stage) *Error { return &Error{Stage: stage, Cancelled: true, Err: errCancelled} }

// Causes of an Error that callers distinguish.
var (
	// ErrConnectionLimit means that the pool's limit allowed no connection for the attempt or
	// probe.
	ErrConnectionLimit = errors.New("connection limit reached")
	// ErrLocalResources means that this machine could not open a connection, for lack of
	// descriptors, memory, ports or a route. It says nothing about the node.
	ErrLocalResources = errors.New("no local resources for a connection")
	// ErrNoBuffer means that the buffer pool had no room for the request, of which nothing was
	// written, or for the body of the response.
	ErrNoBuffer = errors.New("no buffer is available for the body")
	// ErrWithdrawn means that the request was dropped before it was written, because its endpoint
	// or its source was draining, it was superseded, or the check set by SetWriteCheck refused the
	// write.
	ErrWithdrawn = errors.New("request withdrawn before it was written")
)

var (
	errCancelled    = errors.New("cancelled")
	errUnresponsive = errors.New("endpoint is not responding")
	errStalled      = errors.New("read timed out in the middle of a response")
)

// localErrors are the errors of socket and connect that this machine causes. The kernel returns them
// before it sends anything, or because it has no route to send by.
var localErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN,
}

// IsLocal reports whether an error of an attempt or a probe has its cause in this process or this
// machine, so that it says nothing about the node.
func IsLocal(err error) bool {
	return errors.Is(err, ErrConnectionLimit) || errors.Is(err, ErrLocalResources) || errors.Is(err, ErrNoBuffer)
}

// dialError returns the error of a failed dial, which wraps ErrLocalResources if this machine caused
// it.
func dialError(err error) error {
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return fmt.Errorf("%w: %w", ErrLocalResources, err)
		}
	}
	return err
}
