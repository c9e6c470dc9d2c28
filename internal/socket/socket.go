// Package socket inspects the kernel's buffers of a connection, without reading from it and without blocking, and closes it by what it
// finds.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// PendingInput reports whether the kernel holds received bytes that were not read yet (data), and whether the connection was closed
// or reset by the other side with none of them left (closed). Both are false for a connection without a file descriptor.
func PendingInput(conn net.Conn) (data, closed bool) {
	withDescriptor(conn, func(descriptor int) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(descriptor, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		data = err == nil && n > 0
		closed = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
	})
	return data, closed
}

// CloseWriteIfEmpty closes the sending side of a connection, unless the kernel holds received bytes that were not read yet, and reports
// whether it did, when it looked, and how long after that it had closed. The look and the close are two raw system calls in a row: after
// any other the goroutine may have to wait for a processor, and what arrives meanwhile would be lost. A connection without a file
// descriptor counts as closed.
func CloseWriteIfEmpty(conn net.Conn) (closed bool, lookedAt time.Time, gap time.Duration) {
	closed = true
	withDescriptor(conn, func(descriptor int) {
		var buffer [1]byte
		lookedAt = time.Now()
		n, _, errno := unix.RawSyscall6(unix.SYS_RECVFROM, uintptr(descriptor), uintptr(unsafe.Pointer(&buffer[0])), uintptr(len(buffer)),
			unix.MSG_PEEK|unix.MSG_DONTWAIT, 0, 0)
		if errno == 0 && n > 0 {
			closed = false
			return
		}
		_, _, _ = unix.RawSyscall(unix.SYS_SHUTDOWN, uintptr(descriptor), unix.SHUT_WR, 0) // fails only where the other side has reset it
		gap = time.Since(lookedAt)
	})
	return closed, lookedAt, gap
}

// HasUnsentOutput reports whether the kernel still holds written bytes that the other side has not acknowledged. It is false for a
// connection without a file descriptor.
func HasUnsentOutput(conn net.Conn) (unsent bool) {
	withDescriptor(conn, func(descriptor int) {
		n, err := unix.IoctlGetInt(descriptor, unix.SIOCOUTQ)
		unsent = err == nil && n > 0
	})
	return unsent
}

// withDescriptor calls inspect with the file descriptor of a connection, unless it has none or is closed.
func withDescriptor(conn net.Conn, inspect func(descriptor int)) {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { inspect(int(descriptor)) }) // it fails on a closed connection only: nothing to inspect
}
