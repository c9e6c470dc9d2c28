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

// arrivalReader reads from a connection and reports how long the bytes of the last read were in the
// socket's receive buffer, by the kernel's time stamp. The arrival time computed from it is never
// earlier than the real one and does not depend on when a busy machine schedules the reader.
type arrivalReader struct {
	raw         syscall.RawConn
	control     []byte        // buffer for control messages with the kernel's time stamp
	bufferedFor time.Duration // buffering time of the last read; 0 without a time stamp
}

// newArrivalReader enables receive time stamps on a TCP connection and returns a reader for it.
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

// Read implements io.Reader.
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
	r.bufferedFor = 0
	if stamp, ok := arrivalStamp(r.control[:controlSize]); ok {
		r.bufferedFor = max(0, time.Since(stamp))
	}
	return n, nil
}

// arrivalStamp returns the time stamp in a socket control message; ok is false if there is none.
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
