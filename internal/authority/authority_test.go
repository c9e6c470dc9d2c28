package authority

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestPrivateKeyModes guards against private keys that other users can read, and against invalid
// arguments that Init and Issue accept.
func TestPrivateKeyModes(t *testing.T) {
	dir, into := newAuthority(t), t.TempDir()
	issueIdentity(t, dir, into, "op", time.Hour, time.Now(), RoleViewer)
	for _, path := range []string{filepath.Join(dir, caKeyFile), filepath.Join(into, "op-key.pem")} {
		if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%s: %v, %v", path, info.Mode(), err)
		}
	}
	requireNoError(t, os.Chmod(filepath.Join(into, "op-key.pem"), 0o644))
	_, err := Open(dir, filepath.Join(into, "op.pem"), filepath.Join(into, "op-key.pem"))
	if err == nil || !strings.Contains(err.Error(), "may read it") {
		t.Errorf("a key that other users may read: %v", err)
	}
	if err := Init(dir, "again", time.Now()); err == nil {
		t.Error("an authority was created over an existing one")
	}
	for _, c := range []struct {
		name     string
		roles    []Role
		lifetime time.Duration
	}{
		{"", []Role{RoleViewer}, time.Hour},
		{"../x", []Role{RoleViewer}, time.Hour},
		{"x", nil, time.Hour},
		{"x", []Role{"root"}, time.Hour},
		{"x", []Role{RoleViewer}, 0},
	} {
		if err := Issue(dir, into, c.name, c.roles, c.lifetime, time.Now()); err == nil {
			t.Errorf("%+v was issued", c)
		}
	}
}
