package authority

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

func keysDir(t *testing.T) string {
	dir := t.TempDir()
	if err := Init(dir, "test", time.Now()); err != nil {
		t.Fatal(err)
	}
	return dir
}

func issue(t *testing.T, dir, into, name string, life time.Duration, at time.Time, of ...Role) *Identity {
	t.Helper()
	if err := Issue(dir, into, name, of, life, at); err != nil {
		t.Fatal(err)
	}
	i, err := Open(dir, filepath.Join(into, name+".pem"), filepath.Join(into, name+"-key.pem"))
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// meet has a client call a server, and gives why either would not.
func meet(t *testing.T, server, client *Identity, name string) error {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	served := make(chan error, 1)
	go func() {
		nc, err := l.Accept()
		if err != nil {
			served <- err
			return
		}
		defer nc.Close()
		c := tls.Server(nc, server.ServerTLS())
		if err := c.Handshake(); err != nil {
			served <- err
			return
		}
		_, err = c.Write([]byte("x"))
		served <- err
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client.ClientTLS(name))
	if err == nil {
		defer c.Close()
		_, err = io.ReadFull(c, make([]byte, 1))
		if v := c.ConnectionState().Version; v != tls.VersionTLS13 {
			t.Errorf("version %x", v)
		}
	}
	if serr := <-served; err == nil {
		err = serr
	}
	return err
}

func TestWhoIsTrusted(t *testing.T) {
	dir, now := keysDir(t), time.Now()
	server := issue(t, dir, t.TempDir(), "a0", time.Hour, now, RoleAgent)
	good := issue(t, dir, t.TempDir(), "op", time.Hour, now, RoleViewer, RoleEditor)
	late := issue(t, dir, t.TempDir(), "late", time.Minute, now.Add(-2*time.Hour), RoleEditor)
	ahead := issue(t, dir, t.TempDir(), "ahead", time.Hour, now.Add(50*time.Minute), RoleEditor) // its clock is off by less than an hour
	other := keysDir(t)
	stranger := issue(t, other, t.TempDir(), "op", time.Hour, now, RoleViewer, RoleEditor)
	revoked := issue(t, dir, t.TempDir(), "left", time.Hour, now, RoleEditor)
	own, _ := revoked.certificate()
	if err := meet(t, server, revoked, "a0"); err != nil {
		t.Errorf("before it was revoked: %v", err)
	}
	if err := Revoke(dir, []*x509.Certificate{own.Leaf}, now); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name   string
		client *Identity
		server string
		want   string // of the fault; empty for none
	}{
		{"good", good, "a0", ""}, {"expired", late, "a0", "expired"}, {"issued by a clock that is ahead", ahead, "a0", ""},
		{"of another authority", stranger, "a0", "unknown authority"}, {"revoked", revoked, "a0", "revoked"},
		{"another agent answers", good, "a1", "not a1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := meet(t, server, c.client, c.server)
			if (c.want == "") != (err == nil) || err != nil && !strings.Contains(err.Error(), c.want) &&
				!strings.Contains(err.Error(), "bad certificate") && !strings.Contains(err.Error(), "tls:") {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
	name, of, err := server.Verify(must(good.certificate()).Leaf, now)
	if err != nil || name != "op" || !slices.Equal(of, []Role{RoleViewer, RoleEditor}) {
		t.Errorf("%s %v %v", name, of, err)
	}
}

func must(c *tls.Certificate, err error) *tls.Certificate {
	if err != nil {
		panic(err)
	}
	return c
}

// The same name issued again is used from the next connection on, without a stop.
func TestRenewal(t *testing.T) {
	dir, into := keysDir(t), t.TempDir()
	i := issue(t, dir, into, "a0", time.Hour, time.Now(), RoleAgent)
	first := must(i.certificate()).Leaf.SerialNumber
	if err := Issue(dir, into, "a0", []Role{RoleAgent}, time.Hour, time.Now()); err != nil {
		t.Fatal(err)
	}
	later := time.Now().Add(time.Second)
	for _, name := range []string{"a0.pem", "a0-key.pem"} {
		os.Chtimes(filepath.Join(into, name), later, later)
	}
	if must(i.certificate()).Leaf.SerialNumber.Cmp(first) == 0 {
		t.Error("the old one is still used")
	}
	os.WriteFile(filepath.Join(into, "a0.pem"), []byte("half"), 0o600) // being replaced just then
	if _, err := i.certificate(); err != nil {
		t.Errorf("a file that is half changed: %v", err)
	}
}

func TestPrivateKeysStayPrivate(t *testing.T) {
	dir, into := keysDir(t), t.TempDir()
	issue(t, dir, into, "op", time.Hour, time.Now(), RoleViewer)
	for _, path := range []string{filepath.Join(dir, caKey), filepath.Join(into, "op-key.pem")} {
		if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%s: %v, %v", path, info.Mode(), err)
		}
	}
	os.Chmod(filepath.Join(into, "op-key.pem"), 0o644)
	if _, err := Open(dir, filepath.Join(into, "op.pem"), filepath.Join(into, "op-key.pem")); err == nil || !strings.Contains(err.Error(), "may read it") {
		t.Errorf("a key that others may read: %v", err)
	}
	if err := Init(dir, "again", time.Now()); err == nil {
		t.Error("an authority was made over another")
	}
	for _, c := range []struct {
		name string
		of   []Role
		life time.Duration
	}{{"", []Role{RoleViewer}, time.Hour}, {"../x", []Role{RoleViewer}, time.Hour}, {"x", nil, time.Hour}, {"x", []Role{"root"}, time.Hour}, {"x", []Role{RoleViewer}, 0}} {
		if err := Issue(dir, into, c.name, c.of, c.life, time.Now()); err == nil {
			t.Errorf("%+v was issued", c)
		}
	}
}
