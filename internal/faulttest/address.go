package faulttest

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
)

// addressCount counts the addresses that FreeAddress has returned in this process.
var addressCount atomic.Int64

// FreeAddress returns a host and port on which nothing listens. Each result has its own loopback
// address, so that no outgoing connection can take the port before the caller listens on it. It is
// safe for concurrent use.
func FreeAddress() (string, error) {
	n := addressCount.Add(1)
	offset := int64(os.Getpid()) // keeps concurrent test programs on separate addresses
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 2+(offset+n/62500)%250, n/250%250, 1+n%250))
	if err != nil {
		return "", err
	}
	defer closeQuietly(listener)
	return listener.Addr().String(), nil
}

// hostOf returns the host part of a "host:port" address.
func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// closeQuietly closes a connection or listener and ignores the error. It is used only where a
// failed close can't lose data that is still needed.
func closeQuietly(c io.Closer) { _ = c.Close() }
