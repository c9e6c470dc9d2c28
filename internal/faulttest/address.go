package faulttest

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
)

// addressCount is how many addresses FreeAddress has given out in this process.
var addressCount atomic.Int64

// FreeAddress returns a host and port at which nothing listens. Each has a loopback address of its own, from which no outgoing connection
// can take the port before it is listened at. It may be called by any goroutine.
func FreeAddress() (string, error) {
	n := addressCount.Add(1)
	offset := int64(os.Getpid()) // test programs that run side by side count each for itself
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 2+(offset+n/62500)%250, n/250%250, 1+n%250))
	if err != nil {
		return "", err
	}
	defer closeQuietly(listener)
	return listener.Addr().String(), nil
}

// hostOf returns the host of a host and port.
func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// closeQuietly closes a connection or listener whose end loses no data that anyone waits for; the error would change nothing.
func closeQuietly(c io.Closer) { _ = c.Close() }
