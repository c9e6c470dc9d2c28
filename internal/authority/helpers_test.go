package authority

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"
)

// requireNoError ends the test if there is an error.
func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// newAuthority creates an authority in a temporary directory of the test.
func newAuthority(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	requireNoError(t, Init(dir, "test", time.Now()))
	return dir
}

// issueIdentity issues a certificate and opens it as an identity.
func issueIdentity(t *testing.T, dir, into, name string, lifetime time.Duration, at time.Time, roles ...Role) *Identity {
	t.Helper()
	requireNoError(t, Issue(dir, into, name, roles, lifetime, at))
	identity, err := Open(dir, filepath.Join(into, name+".pem"), filepath.Join(into, name+"-key.pem"))
	requireNoError(t, err)
	return identity
}

// ownCertificate returns an identity's current certificate.
func ownCertificate(t *testing.T, identity *Identity) *tls.Certificate {
	t.Helper()
	cert, err := identity.currentCertificate()
	requireNoError(t, err)
	return cert
}

// handshake connects a client to a server and returns an error if either side refuses the other.
func handshake(t *testing.T, server, client *Identity, name string) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	defer func() { requireNoError(t, listener.Close()) }()
	served := make(chan error, 1)
	go func() { served <- serveOne(listener, server) }()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client.ClientTLS(name))
	if err == nil {
		_, err = io.ReadFull(conn, make([]byte, 1))
		if version := conn.ConnectionState().Version; version != tls.VersionTLS13 {
			t.Errorf("version %x", version)
		}
		_ = conn.Close() // the server may have closed it
	}
	if serveErr := <-served; err == nil {
		err = serveErr
	}
	return err
}

// serveOne accepts one connection and sends one byte to it.
func serveOne(listener net.Listener, server *Identity) (err error) {
	netConn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, netConn.Close()) }()
	conn := tls.Server(netConn, server.ServerTLS())
	if err := conn.Handshake(); err != nil {
		return err
	}
	_, err = conn.Write([]byte("x"))
	return err
}
