package commontest

import (
	"context"

	"quaydock/pkg/follow"
)

// NoEstimates is an estimate store that accepts all rows and keeps none.
type NoNotes struct{}

// Put does nothing.
func (NoNotes) Put(context.Context, string, []byte) error { return nil }

// Snapshot returns no rows.
func (NoNotes) Whole(context.Context) (follow.Batch, error) { return follow.Batch{}, nil }
