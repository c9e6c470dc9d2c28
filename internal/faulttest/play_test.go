package faulttest

import (
	"context"
	"testing"
	"time"
)

// slowFault is a fault that takes longer to begin than it is to last.
type slowFault struct {
	applied     bool
	undoneAfter bool // undo came once apply had returned
}

func (f *slowFault) apply(context.Context) {
	time.Sleep(50 * time.Millisecond)
	f.applied = true
}

func (f *slowFault) undo(context.Context) { f.undoneAfter = f.applied }

// Guards against a fault that is undone before it has begun, and so stays: a duplicate instance that is slow to start, for one.
func TestUndoWaitsForApply(t *testing.T) {
	f := &slowFault{}
	if runSteps(t.Context(), faultSteps(f, 0, 1)); !f.undoneAfter {
		t.Error("undone before it was applied")
	}
}
