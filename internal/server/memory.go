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

// mapping is an address range of the process: start is included, end is not.
type mapping struct {
	start, end uintptr
}

// releaseStartupPages returns memory to the system: pages of the executable and of shared libraries
// that only the start needed. The initializers of linked packages are spread over the whole file,
// and most pages, such as those of gossip in a director without peers, are not used again. The
// system reads a released page from the file again if it is needed. If the mappings can't be read,
// nothing is released.
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

// cleanFileMappings parses the text of /proc/self/smaps and returns the read-only file mappings of
// which no page was modified, so that the file holds the same contents. The loader may have
// modified pages before it protected them; releasing those would lose the modifications.
func cleanFileMappings(smaps []byte) (mappings []mapping) {
	var candidate mapping // of the last header read; zero if it can't be released
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

// isReadOnlyFile reports whether the fields of a mapping's header (addresses, permissions, offset,
// device, inode and path) describe a private file mapping that is readable and not writable.
func isReadOnlyFile(fields [][]byte) bool {
	if len(fields) != 6 || len(fields[1]) != 4 || fields[5][0] != '/' {
		return false
	}
	permissions := fields[1]
	return permissions[0] == 'r' && permissions[1] == '-' && permissions[3] == 'p'
}

// parseMapping parses hexadecimal addresses; invalid ones give an empty mapping.
func parseMapping(start, end string) mapping {
	first, _ := strconv.ParseUint(start, 16, 64) // 0 if it is not a number
	last, _ := strconv.ParseUint(end, 16, 64)
	return mapping{uintptr(first), uintptr(last)}
}
