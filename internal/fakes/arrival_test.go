package fakes

import (
	"net"
	"testing"
	"time"
)

// TestArrivalReader guards against measuring a director's delay by when a busy machine lets the
// node read. The time that bytes spend in the socket buffer must be part of their age.
func TestArrivalReader(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(listener)
	sender, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(sender)
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(conn)
	reader, err := newArrivalReader(conn)
	if err != nil {
		t.Fatal(err)
	}
	// The kernel starts to time-stamp shortly after the option is set.
	for until := time.Now().Add(5 * time.Second); reader.bufferedFor == 0; {
		if time.Now().After(until) {
			t.Fatal("the kernel provides no receive time stamps")
		}
		before := time.Now()
		if _, err := sender.Write([]byte("text")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		buffer := make([]byte, 16)
		n, err := reader.Read(buffer)
		if err != nil || string(buffer[:n]) != "text" {
			t.Fatalf("read %q, %v", buffer[:n], err)
		}
		elapsed := time.Since(before)
		if reader.bufferedFor > elapsed || reader.bufferedFor > 0 && reader.bufferedFor < 50*time.Millisecond {
			t.Errorf("buffered for %v, want at least 50 ms and at most %v, the time since sending", reader.bufferedFor, elapsed)
		}
	}
}
