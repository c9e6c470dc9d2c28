// Package socket looks at what the system holds of a connection, without reading or waiting.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// PendingInput says whether bytes have come that were not read yet, or the other side's end.
func PendingInput(nc net.Conn) (bytes, end bool) {
	withDescriptor(nc, func(fd int) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		bytes = err == nil && n > 0
		end = err == nil && n == 0 || err == syscall.ECONNRESET
	})
	return bytes, end
}

// HasUnsentOutput says whether the system still holds bytes that the other side has not taken.
func HasUnsentOutput(nc net.Conn) (some bool) {
	withDescriptor(nc, func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		some = err == nil && n > 0
	})
	return some
}

func withDescriptor(nc net.Conn, do func(fd int)) {
	if raw, ok := nc.(syscall.Conn); ok {
		if in, err := raw.SyscallConn(); err == nil {
			in.Control(func(fd uintptr) { do(int(fd)) })
		}
	}
}
