package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// TestDrawStorm checks that a plot is written as PNG, and that a path that can't be written gives
// an error.
func TestDrawStorm(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.png")
	r := StormResult{Series: StormSeries{Attempts: []int{1, 2, 3}, Succeeded: []int{1, 1}, Load: []float64{0.1, 0.5}}}
	if err := DrawStorm(path, r); err != nil {
		t.Fatal(err)
	}
	if b, err := os.ReadFile(path); err != nil || !bytes.HasPrefix(b, []byte("\x89PNG")) {
		t.Errorf("%.8q, %v", b, err)
	}
	if err := DrawStorm(filepath.Join(path, "x"), r); err == nil {
		t.Error("no error for a path that can't be written")
	}
}
