package server

import (
	"bytes"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"syscall"

	"tallyproxy/internal/logevent"
)

// giveBack lets go of the pages of the program's file, and of the system's libraries, that only its start needed: the beginnings of
// the libraries it is made of lie all over it, and most, as of those that talk to other directors, are not run again where they are
// switched off. What is used comes back by itself, from the file. Where the system doesn't tell, nothing is done.
func giveBack() {
	raw, err := os.ReadFile("/proc/self/smaps")
	if err != nil {
		return
	}
	for _, m := range clean(raw) {
		if _, _, errno := syscall.Syscall(syscall.SYS_MADVISE, m[0], m[1]-m[0], syscall.MADV_DONTNEED); errno != 0 {
			slog.Debug(logevent.MemoryReleaseFailed, "err", errno)
		}
	}
}

// clean are the mappings of files, from and to, that can't be written and of which no page was changed (by the loader, before it
// shut them): their pages are the file's. Others must not be let go, since what was written there would be lost.
func clean(smaps []byte) (out [][2]uintptr) {
	var from, to uint64
	for line := range bytes.Lines(smaps) {
		words := bytes.Fields(line)
		if len(words) == 0 {
			continue
		}
		if a, b, mapping := strings.Cut(string(words[0]), "-"); mapping {
			from, to = 0, 0
			if len(words) == 6 && words[5][0] == '/' && len(words[1]) == 4 && words[1][0] == 'r' && words[1][1] == '-' && words[1][3] == 'p' {
				from, _ = strconv.ParseUint(a, 16, 64)
				to, _ = strconv.ParseUint(b, 16, 64)
			}
		} else if to > from && string(words[0]) == "Anonymous:" {
			if len(words) == 3 && string(words[1]) == "0" {
				out = append(out, [2]uintptr{uintptr(from), uintptr(to)})
			}
			from, to = 0, 0
		}
	}
	return out
}
