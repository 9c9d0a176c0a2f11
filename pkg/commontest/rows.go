package commontest

import "context"

// NoRows is a table of entries in a store that accepts all writes and keeps none.
type NoRows struct{}

// Put does nothing.
func (NoRows) Put(context.Context, string, []byte) error { return nil }

// PutAll does nothing.
func (NoRows) PutAll(context.Context, map[string][]byte) error { return nil }

// Remove does nothing.
func (NoRows) Remove(context.Context, ...string) error { return nil }
