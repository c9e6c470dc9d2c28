package faulttest

import (
	"context"
	"testing"
	"time"
)

// slowFault is a fault whose apply takes longer than the fault's duration.
type slowFault struct {
	applied     bool
	undoneAfter bool // undo was called after apply had returned
}

func (f *slowFault) apply(context.Context) {
	time.Sleep(50 * time.Millisecond)
	f.applied = true
}

func (f *slowFault) undo(context.Context) { f.undoneAfter = f.applied }

// TestUndoWaitsForApply guards against a fault that is undone before it has been applied and thus
// stays in effect, for example a duplicate instance that starts slowly.
func TestUndoWaitsForApply(t *testing.T) {
	f := &slowFault{}
	if runSteps(t.Context(), faultSteps(f, 0, 1)); !f.undoneAfter {
		t.Error("undone before it was applied")
	}
}
