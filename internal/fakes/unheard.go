package fakes

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Silent is a place on loopback where connections neither come up nor are refused, as at a machine that went silent, until what is in
// its queue is accepted.
type Silent struct {
	net.Listener
	fill map[string]net.Conn // what holds the queue, by its own address
}

// Unheard opens one.
func Unheard() (*Silent, error) {
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
	s := &Silent{l, map[string]net.Conn{}}
	for range 64 { // until one does not come up
		nc, err := net.DialTimeout("tcp4", l.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return s, nil
		}
		s.fill[nc.LocalAddr().String()] = nc
	}
	s.Close()
	return nil, errors.New("all connections come up")
}

// Ours says whether an accepted connection is one of those that held the queue.
func (s *Silent) Ours(nc net.Conn) bool { return s.fill[nc.RemoteAddr().String()] != nil }

// Close closes it, and what held the queue.
func (s *Silent) Close() error {
	for _, nc := range s.fill {
		nc.Close()
	}
	return s.Listener.Close()
}
