package agent

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"tallyproxy/internal/config"
	"tallyproxy/internal/status"
)

// repeatedErrorDelay is the time after which a reload error that equals the error before the signal
// counts as the result of the signal.
const repeatedErrorDelay = startTimeout / 10

// Apply makes the director run a script and verifies that it does. If the director rejects the
// script, Apply restores the previous script and returns the error.
func (d *Director) Apply(ctx context.Context, script, previous string) error {
	if err := replaceFile(d.SettingsFile, script); err != nil {
		return err // the previous file still exists and is active
	}
	err := d.reload(ctx, script)
	if err == nil {
		return nil
	}
	if writeErr := replaceFile(d.SettingsFile, previous); writeErr != nil {
		return fmt.Errorf("%w; and its old script could not be written: %w", err, writeErr)
	}
	if reloadErr := d.reload(ctx, previous); reloadErr != nil {
		return fmt.Errorf("%w; with its old script: %w", err, reloadErr)
	}
	return err
}

// reload makes the director read its settings file, or starts the director if it is not running,
// and waits until the director reports the digest of the script.
func (d *Director) reload(ctx context.Context, script string) error {
	want := config.Digest([]byte(script))
	before, err := d.Report(ctx)
	if err == nil && before.SettingsDigest == want {
		return nil // the agent crashed after an earlier reload
	}
	if err != nil {
		if err := d.Start(ctx); err != nil {
			return err
		}
	} else if err := d.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	signalled := time.Now()
	return d.waitUntil(ctx, func(report status.Report) (met bool, err error) {
		if report.SettingsDigest == want {
			return true, nil
		}
		isNew := report.ReloadError != before.ReloadError || time.Since(signalled) > repeatedErrorDelay
		if report.ReloadError != "" && isNew && report.Reloads == before.Reloads {
			return false, errors.New(report.ReloadError)
		}
		return false, nil
	})
}

// replaceFile replaces a file atomically: the file has either its old or its new content, also
// after a crash.
func replaceFile(path, text string) error {
	dir := filepath.Dir(path)
	temporary, err := writeTemporary(dir, text)
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		_ = os.Remove(temporary) // best effort; the error of the rename is returned
		return err
	}
	return syncDirectory(dir)
}

// writeTemporary writes a file with a unique name. The file is on disk when the function returns.
func writeTemporary(dir, text string) (path string, err error) {
	f, err := os.CreateTemp(dir, ".script-*")
	if err != nil {
		return "", err
	}
	_, err = f.WriteString(text)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = os.Remove(f.Name()) // best effort; the error of the write is returned
		return "", err
	}
	return f.Name(), nil
}

func syncDirectory(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }() // opened for reading, so no data can be lost
	return d.Sync()
}
