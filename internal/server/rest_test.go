package server

import (
	"fmt"
	"slices"
	"testing"
)

// Only pages that are the file's are let go: of a mapping that the loader wrote to before it shut it, what was written would be
// lost.
func TestClean(t *testing.T) {
	mapping := func(span, rights, path string, kb int) string {
		return fmt.Sprintf("%s %s 00000000 fe:00 42    %s\nSize:  64 kB\nAnonymous:   %d kB\nVmFlags: rd mr\n", span, rights, path, kb)
	}
	for _, c := range []struct {
		name, smaps string
		want        [][2]uintptr
	}{
		{"nothing", "", nil},
		{"text and constants", mapping("1000-3000", "r-xp", "/bin/a", 0) + mapping("3000-4000", "r--p", "/bin/a", 0),
			[][2]uintptr{{0x1000, 0x3000}, {0x3000, 0x4000}}},
		{"shut after it was written", mapping("1000-3000", "r--p", "/bin/a", 8), nil},
		{"may be written", mapping("1000-3000", "rw-p", "/bin/a", 0), nil},
		{"shared", mapping("1000-3000", "r--s", "/var/a.db", 0), nil},
		{"of no file", mapping("1000-3000", "r--p", "", 0) + mapping("5000-6000", "r-xp", "[vdso]", 0), nil},
		{"shut to all", mapping("1000-3000", "---p", "/lib/c.so", 0), nil},
		{"half a line", "1000-3000 r-xp 0 fe:00 42 /bin/a\nAnonymous:", nil},
		{"not what it should be", "-\n\nx-y r-xp 0 0 0 /a\nAnonymous: 0 kB\n", nil},
	} {
		if got := clean([]byte(c.smaps)); !slices.Equal(got, c.want) {
			t.Errorf("%s: %x, want %x", c.name, got, c.want)
		}
	}
	giveBack() // of this program, which goes on
}
