package fakes

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// UnresponsiveListener is a loopback address at which connection attempts are neither accepted nor
// refused, as at an unresponsive machine. It becomes responsive when the connections that fill its
// accept queue are accepted.
type UnresponsiveListener struct {
	net.Listener
	queued map[string]net.Conn // connections that fill the accept queue, by local address
}

const (
	maxQueued   = 64                     // connections opened, at most, to fill the queue
	dialTimeout = 100 * time.Millisecond // to connect; a timeout means that the queue is full
)

// ErrQueueNotFull is returned if the accept queue holds more connections than ListenUnresponsive
// opens.
var ErrQueueNotFull = errors.New("accept queue is not full: all connections were established")

// ListenUnresponsive opens a listener and fills its accept queue.
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

// listenWithoutBacklog listens on a free port of 127.0.0.1 with the shortest accept queue of the
// system.
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
	return net.FileListener(file) // duplicates the descriptor
}

// HoldsQueue reports whether an accepted connection is one of those that filled the accept queue.
func (l *UnresponsiveListener) HoldsQueue(conn net.Conn) bool {
	return l.queued[conn.RemoteAddr().String()] != nil
}

// Close closes the listener and the connections that filled its queue.
func (l *UnresponsiveListener) Close() error {
	for _, conn := range l.queued {
		closeQuietly(conn)
	}
	return l.Listener.Close()
}
