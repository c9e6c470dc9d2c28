package server

import (
	"fmt"
	"slices"
	"testing"
)

// TestCleanFileMappings guards against the release of pages that the loader modified before it
// protected the mapping, which would lose the modifications.
func TestCleanFileMappings(t *testing.T) {
	smap := func(addresses, permissions, path string, kb int) string {
		return fmt.Sprintf("%s %s 00000000 fe:00 42    %s\nSize:  64 kB\nAnonymous:   %d kB\nVmFlags: rd mr\n", addresses, permissions, path, kb)
	}
	for _, c := range []struct {
		name, smaps string
		want        []mapping
	}{
		{"nothing", "", nil},
		{"text and constants", smap("1000-3000", "r-xp", "/bin/a", 0) + smap("3000-4000", "r--p", "/bin/a", 0),
			[]mapping{{0x1000, 0x3000}, {0x3000, 0x4000}}},
		{"protected after it was written", smap("1000-3000", "r--p", "/bin/a", 8), nil},
		{"writable", smap("1000-3000", "rw-p", "/bin/a", 0), nil},
		{"shared", smap("1000-3000", "r--s", "/var/a.db", 0), nil},
		{"not a file", smap("1000-3000", "r--p", "", 0) + smap("5000-6000", "r-xp", "[vdso]", 0), nil},
		{"inaccessible", smap("1000-3000", "---p", "/lib/c.so", 0), nil},
		{"truncated line", "1000-3000 r-xp 0 fe:00 42 /bin/a\nAnonymous:", nil},
		{"malformed", "-\n\nx-y r-xp 0 0 0 /a\nAnonymous: 0 kB\n", nil},
	} {
		if got := cleanFileMappings([]byte(c.smaps)); !slices.Equal(got, c.want) {
			t.Errorf("%s: %x, want %x", c.name, got, c.want)
		}
	}
	releaseStartupPages() // must not break the running test process
}
