package commontest

import (
	"context"

	"quaydock/pkg/follow"
)

// NoEstimates is an estimate store that keeps nothing.
type NoEstimates struct{}

// Put discards a row.
func (NoEstimates) Put(context.Context, string, []byte) error { return nil }

// Snapshot returns no rows.
func (NoEstimates) Snapshot(context.Context) (follow.Batch, error) { return follow.Batch{}, nil }
