package commontest

import "context"

// NoRows is a table of entries in a store that takes everything and tells
// nothing.
type NoRows struct{}

// Put takes a row.
func (NoRows) Put(context.Context, string, []byte) error { return nil }

// PutAll does nothing.
func (NoRows) PutAll(context.Context, map[string][]byte) error { return nil }

// Remove takes a row away.
func (NoRows) Remove(context.Context, ...string) error { return nil }
