package fakes

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// UnresponsiveListener is an address on loopback where connections neither come up nor are refused, as at a machine that went silent,
// until what is in its queue is accepted.
type UnresponsiveListener struct {
	net.Listener
	queued map[string]net.Conn // the connections that fill the queue, by their own address
}

const (
	maxQueued   = 64                     // connections that are tried until one does not come up
	dialTimeout = 100 * time.Millisecond // after which one has not come up
)

// ErrQueueNotFull is returned where the system accepts more connections than are tried.
var ErrQueueNotFull = errors.New("all connections come up")

// ListenUnresponsive opens an address and fills its queue.
func ListenUnresponsive() (*UnresponsiveListener, error) {
	listener, err := listenWithoutBacklog()
	if err != nil {
		return nil, err
	}
	l := &UnresponsiveListener{listener, map[string]net.Conn{}}
	for range maxQueued {
		conn, err := net.DialTimeout("tcp4", listener.Addr().String(), dialTimeout)
		if err != nil {
			return l, nil
		}
		l.queued[conn.LocalAddr().String()] = conn
	}
	return nil, errors.Join(ErrQueueNotFull, l.Close())
}

// listenWithoutBacklog listens on a free port of 127.0.0.1 with the smallest queue that the system has.
func listenWithoutBacklog() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "silent")
	defer closeQuietly(file)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	return net.FileListener(file) // of a copy of the descriptor
}

// HoldsQueue says whether an accepted connection is one of those that filled the queue.
func (l *UnresponsiveListener) HoldsQueue(conn net.Conn) bool {
	return l.queued[conn.RemoteAddr().String()] != nil
}

// Close closes the address, and the connections that filled its queue.
func (l *UnresponsiveListener) Close() error {
	for _, conn := range l.queued {
		closeQuietly(conn)
	}
	return l.Listener.Close()
}
