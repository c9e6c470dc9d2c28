package fakes

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// UnresponsiveListener is a place on loopback where connections neither come up nor are refused, as at a machine that went silent, until what is in
// its queue is accepted.
type UnresponsiveListener struct {
	net.Listener
	queued map[string]net.Conn // what holds the queue, by its own address
}

// ListenUnresponsive opens one.
func ListenUnresponsive() (*UnresponsiveListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "silent")
	defer file.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	s := &UnresponsiveListener{l, map[string]net.Conn{}}
	for range 64 { // until one does not come up
		nc, err := net.DialTimeout("tcp4", l.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return s, nil
		}
		s.queued[nc.LocalAddr().String()] = nc
	}
	s.Close()
	return nil, errors.New("all connections come up")
}

// HoldsQueue says whether an accepted connection is one of those that held the queue.
func (s *UnresponsiveListener) HoldsQueue(nc net.Conn) bool {
	return s.queued[nc.RemoteAddr().String()] != nil
}

// Close closes it, and what held the queue.
func (s *UnresponsiveListener) Close() error {
	for _, nc := range s.queued {
		nc.Close()
	}
	return s.Listener.Close()
}
