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

// mapping is a range of addresses of the process: from start up to end.
type mapping struct {
	start, end uintptr
}

// releaseStartupPages gives memory back to the system: pages of the program's file, and of the system's libraries, that only the
// start needed. The initialisers of linked packages lie all over the file, and most pages, such as those of gossip where it is
// off, are not run again. What is used again is read from the file. Where the system doesn't tell the mappings, nothing is done.
func releaseStartupPages() {
	smaps, err := os.ReadFile("/proc/self/smaps")
	if err != nil {
		return
	}
	for _, m := range cleanFileMappings(smaps) {
		if _, _, errno := syscall.Syscall(syscall.SYS_MADVISE, m.start, m.end-m.start, syscall.MADV_DONTNEED); errno != 0 {
			slog.Debug(logevent.MemoryReleaseFailed, "err", errno)
		}
	}
}

// cleanFileMappings reads the text of /proc/self/smaps and gives the mappings of files that can't be written and of which no page was
// changed: their pages are the file's. The loader may have changed pages before it protected them; those must not be released,
// since what was written there would be lost.
func cleanFileMappings(smaps []byte) (mappings []mapping) {
	var candidate mapping // of the header read last; zero where it can't be released
	for line := range bytes.Lines(smaps) {
		fields := bytes.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if start, end, isHeader := strings.Cut(string(fields[0]), "-"); isHeader {
			candidate = mapping{}
			if isReadOnlyFile(fields) {
				candidate = parseMapping(start, end)
			}
		} else if candidate.end > candidate.start && string(fields[0]) == "Anonymous:" {
			if len(fields) == 3 && string(fields[1]) == "0" {
				mappings = append(mappings, candidate)
			}
			candidate = mapping{}
		}
	}
	return mappings
}

// isReadOnlyFile says whether the fields of a mapping's header (addresses, permissions, offset, device, inode and path) are those of
// a file that is mapped privately, to be read and not written.
func isReadOnlyFile(fields [][]byte) bool {
	if len(fields) != 6 || len(fields[1]) != 4 || fields[5][0] != '/' {
		return false
	}
	permissions := fields[1]
	return permissions[0] == 'r' && permissions[1] == '-' && permissions[3] == 'p'
}

// parseMapping reads addresses in hex digits; what is none gives an empty mapping.
func parseMapping(start, end string) mapping {
	first, _ := strconv.ParseUint(start, 16, 64) // 0 where it is no number
	last, _ := strconv.ParseUint(end, 16, 64)
	return mapping{uintptr(first), uintptr(last)}
}
