package commontest

import (
	"context"

	"quaydock/pkg/follow"
)

// NoNotes is an estimate store that keeps nothing.
type NoNotes struct{}

// Put discards a row.
func (NoNotes) Put(context.Context, string, []byte) error { return nil }

// Whole returns no rows.
func (NoNotes) Whole(context.Context) (follow.Batch, error) { return follow.Batch{}, nil }
