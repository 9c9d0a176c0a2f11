package commontest

import (
	"context"

	"quaydock/pkg/follow"
)

// NoEstimates is an estimate store that keeps nothing.
type NoNotes struct{}

// Put discards a row.
func (NoNotes) Put(context.Context, string, []byte) error { return nil }

// Snapshot returns no rows.
func (NoNotes) Whole(context.Context) (follow.Batch, error) { return follow.Batch{}, nil }
