package fakes

import (
	"net"
	"testing"
	"time"
)

// Guards against judging a director by when a busy machine lets the node read: what has lain in the socket is as old as that.
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
	for until := time.Now().Add(5 * time.Second); reader.waited == 0; { // the kernel begins to stamp a little after it is asked to
		if time.Now().After(until) {
			t.Fatal("the kernel gives no time stamps")
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
		begun := time.Since(before)
		if reader.waited > begun || reader.waited > 0 && reader.waited < 50*time.Millisecond {
			t.Errorf("it had waited %v, and was begun %v ago", reader.waited, begun)
		}
	}
}
