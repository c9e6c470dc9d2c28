// Package socket inspects the kernel's buffers of a connection without reading from it or blocking,
// and closes its sending side if they allow it.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// PendingInput reports whether the kernel holds received bytes that have not been read yet (data),
// and whether the other side has closed or reset the connection with no unread bytes left (closed).
// Both are false for a connection without a file descriptor.
func PendingInput(conn net.Conn) (data, closed bool) {
	withDescriptor(conn, func(descriptor int) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(descriptor, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		data = err == nil && n > 0
		closed = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
	})
	return data, closed
}

// PeerClosed reports whether the other side has closed or reset the connection, also if the kernel
// holds received bytes that have not been read yet. It returns false for a connection without a file
// descriptor.
func PeerClosed(conn net.Conn) (closed bool) {
	withDescriptor(conn, func(descriptor int) {
		const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(polled, 0)
		for errors.Is(err, unix.EINTR) {
			_, err = unix.Poll(polled, 0)
		}
		// without memory for the call, the reader notices the end itself
		closed = err == nil && polled[0].Revents&ended != 0
	})
	return closed
}

// CloseWriteIfEmpty closes the sending side of a connection, unless the kernel holds received bytes
// that have not been read yet. It reports whether it closed it, when it checked for input, and how
// much time passed between the check and the end of the close. Check and close are two consecutive
// raw system calls: after an ordinary system call the goroutine may have to wait for a processor,
// and input that arrives meanwhile would be lost. A connection without a file descriptor counts as
// closed.
func CloseWriteIfEmpty(conn net.Conn) (closed bool, checkedAt time.Time, gap time.Duration) {
	closed = true
	withDescriptor(conn, func(descriptor int) {
		var buffer [1]byte
		checkedAt = time.Now()
		n, _, errno := unix.RawSyscall6(unix.SYS_RECVFROM, uintptr(descriptor), uintptr(unsafe.Pointer(&buffer[0])), uintptr(len(buffer)),
			unix.MSG_PEEK|unix.MSG_DONTWAIT, 0, 0)
		if errno == 0 && n > 0 {
			closed = false
			return
		}
		// an error means that the other side has reset the connection
		_, _, _ = unix.RawSyscall(unix.SYS_SHUTDOWN, uintptr(descriptor), unix.SHUT_WR, 0)
		gap = time.Since(checkedAt)
	})
	return closed, checkedAt, gap
}

// HasUnsentOutput reports whether the kernel still holds written bytes that the other side has not
// acknowledged. It returns false for a connection without a file descriptor.
func HasUnsentOutput(conn net.Conn) (unsent bool) {
	withDescriptor(conn, func(descriptor int) {
		n, err := unix.IoctlGetInt(descriptor, unix.SIOCOUTQ)
		unsent = err == nil && n > 0
	})
	return unsent
}

// withDescriptor calls inspect with the file descriptor of a connection, unless the connection has
// none or is closed.
func withDescriptor(conn net.Conn, inspect func(descriptor int)) {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return
	}
	// an error means that the connection is closed, so there is nothing to inspect
	_ = raw.Control(func(descriptor uintptr) { inspect(int(descriptor)) })
}
