package commontest

import "context"

// NoRows is a writer of the rows of entries that discards everything.
type NoRows struct{}

// Put discards a row.
func (NoRows) Put(context.Context, string, []byte) error { return nil }

// PutAll discards rows.
func (NoRows) PutAll(context.Context, map[string][]byte) error { return nil }

// Remove does nothing.
func (NoRows) Remove(context.Context, ...string) error { return nil }
