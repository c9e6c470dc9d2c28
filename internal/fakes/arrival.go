package fakes

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// arrivalReader reads a connection and tells when the bytes that it read last came to this machine, by the kernel's clock. What it
// tells is never earlier than the arrival, and does not depend on when a busy machine lets it read.
type arrivalReader struct {
	raw     syscall.RawConn
	control []byte        // buffer for the kernel's time stamp
	waited  time.Duration // how long the bytes read last had lain in the socket; 0 where the kernel does not say
}

// newArrivalReader makes a reader of a TCP connection.
func newArrivalReader(conn net.Conn) (*arrivalReader, error) {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return nil, err
	}
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	control := make([]byte, unix.CmsgSpace(int(unsafe.Sizeof(unix.Timespec{}))))
	return &arrivalReader{raw: raw, control: control}, errors.Join(err, optionErr)
}

// Read is io.Reader's.
func (r *arrivalReader) Read(buffer []byte) (n int, err error) {
	var controlSize int
	var readErr error
	err = r.raw.Read(func(descriptor uintptr) (done bool) {
		n, controlSize, _, _, readErr = unix.Recvmsg(int(descriptor), buffer, r.control, 0)
		return !errors.Is(readErr, unix.EAGAIN)
	})
	if err = errors.Join(err, readErr); err != nil {
		return 0, err
	}
	if n == 0 {
		return 0, io.EOF
	}
	r.waited = 0
	if stamp, ok := arrivalStamp(r.control[:controlSize]); ok {
		r.waited = max(0, time.Since(stamp))
	}
	return n, nil
}

// arrivalStamp returns the time stamp in a control message, and whether there is one.
func arrivalStamp(control []byte) (stamp time.Time, ok bool) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return stamp, false
	}
	for _, m := range messages {
		if m.Header.Type == unix.SO_TIMESTAMPNS && len(m.Data) >= int(unsafe.Sizeof(unix.Timespec{})) {
			spec := (*unix.Timespec)(unsafe.Pointer(&m.Data[0]))
			return time.Unix(spec.Sec, spec.Nsec), true
		}
	}
	return stamp, false
}
