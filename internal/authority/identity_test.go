package authority

import (
	"crypto/x509"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestVerify guards against a side of a connection that accepts an invalid certificate or refuses a
// valid one.
func TestVerify(t *testing.T) {
	dir, now := newAuthority(t), time.Now()
	server := issueIdentity(t, dir, t.TempDir(), "a0", time.Hour, now, RoleAgent)
	good := issueIdentity(t, dir, t.TempDir(), "op", time.Hour, now, RoleViewer, RoleEditor)
	expired := issueIdentity(t, dir, t.TempDir(), "late", time.Minute, now.Add(-2*time.Hour), RoleEditor)
	// The clock of this issuer is ahead by less than an hour.
	ahead := issueIdentity(t, dir, t.TempDir(), "ahead", time.Hour, now.Add(50*time.Minute), RoleEditor)
	other := newAuthority(t)
	foreign := issueIdentity(t, other, t.TempDir(), "op", time.Hour, now, RoleViewer, RoleEditor)
	revoked := issueIdentity(t, dir, t.TempDir(), "left", time.Hour, now, RoleEditor)
	own := ownCertificate(t, revoked)
	if err := handshake(t, server, revoked, "a0"); err != nil {
		t.Errorf("before it was revoked: %v", err)
	}
	requireNoError(t, Revoke(dir, []*x509.Certificate{own.Leaf}, now))
	cases := []struct {
		name   string
		client *Identity
		server string
		want   string // part of the expected error; empty for none
	}{
		{"good", good, "a0", ""}, {"expired", expired, "a0", "expired"}, {"issued by a clock that is ahead", ahead, "a0", ""},
		{"of another authority", foreign, "a0", "unknown authority"}, {"revoked", revoked, "a0", "revoked"},
		{"another agent answers", good, "a1", "not a1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := handshake(t, server, c.client, c.server)
			if (c.want == "") != (err == nil) || err != nil && !strings.Contains(err.Error(), c.want) &&
				!strings.Contains(err.Error(), "bad certificate") && !strings.Contains(err.Error(), "tls:") {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
	name, roles, err := server.Verify(ownCertificate(t, good).Leaf, now)
	if err != nil || name != "op" || !slices.Equal(roles, []Role{RoleViewer, RoleEditor}) {
		t.Errorf("%s %v %v", name, roles, err)
	}
}

// TestRenewal guards against a renewed certificate that is not used for the next connection, and
// against an unreadable certificate file that replaces the current certificate.
func TestRenewal(t *testing.T) {
	dir, into := newAuthority(t), t.TempDir()
	identity := issueIdentity(t, dir, into, "a0", time.Hour, time.Now(), RoleAgent)
	first := ownCertificate(t, identity).Leaf.SerialNumber
	requireNoError(t, Issue(dir, into, "a0", []Role{RoleAgent}, time.Hour, time.Now()))
	later := time.Now().Add(time.Second)
	for _, name := range []string{"a0.pem", "a0-key.pem"} {
		requireNoError(t, os.Chtimes(filepath.Join(into, name), later, later))
	}
	if ownCertificate(t, identity).Leaf.SerialNumber.Cmp(first) == 0 {
		t.Error("the old certificate is still used")
	}
	// The file is just being replaced.
	requireNoError(t, os.WriteFile(filepath.Join(into, "a0.pem"), []byte("half"), 0o600))
	if _, err := identity.currentCertificate(); err != nil {
		t.Errorf("a partly written file: %v", err)
	}
}
