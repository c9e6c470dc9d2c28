package logevent

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// maxDetailPerSecond is the number of lines that Detail writes in a second. A director that logs
// each of thousands of rejections would wait for whoever reads its log.
const maxDetailPerSecond = 50

// detail limits the lines of Detail. Its lock guards it.
var detail struct {
	sync.Mutex
	since      time.Time // start of the current second
	lines      int       // written in the current second
	suppressed int       // left out since the last line
}

// Detail logs an event of a single request or connection at debug level, at most
// maxDetailPerSecond of them in a second. If some were left out, a line with their number precedes
// the next one. attributes is called only if the event is logged.
func Detail(event string, attributes func() []any) {
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	suppressed, ok := admitDetail(time.Now())
	if !ok {
		return
	}
	if suppressed > 0 {
		slog.Debug(DebugSuppressed, "lines", suppressed)
	}
	slog.Debug(event, attributes()...)
}

// admitDetail reports whether a line may be written now, and the number of lines that were left out
// before it.
func admitDetail(now time.Time) (suppressed int, ok bool) {
	detail.Lock()
	defer detail.Unlock()
	if now.Sub(detail.since) >= time.Second {
		detail.since, detail.lines = now, 0
	}
	if detail.lines >= maxDetailPerSecond {
		detail.suppressed++
		return 0, false
	}
	detail.lines++
	suppressed, detail.suppressed = detail.suppressed, 0
	return suppressed, true
}
