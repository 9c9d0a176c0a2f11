package commontest

import (
	"context"

	"quaydock/pkg/follow"
)

// NoNotes is a table in a store that keeps nothing.
type NoNotes struct{}

// Put takes a row.
func (NoNotes) Put(context.Context, string, []byte) error { return nil }

// Whole returns no rows.
func (NoNotes) Whole(context.Context) (follow.Batch, error) { return follow.Batch{}, nil }
