package random

import (
	"context"

	"quaydock/pkg/clock"
)

// Backoff waits between tries, each time about twice as long as before, up to a
// bound. It is for one goroutine.
type Backoff struct {
	source *Source
	least  clock.Millis
	most   clock.Millis
	next   clock.Millis
}

// NewBackoff returns a backoff that begins at least and ends at most.
func (s *Source) NewBackoff(least, most clock.Millis) *Backoff {
	return &Backoff{source: s, least: least, most: most, next: least}
}

// Pause waits for the next time, with jitter, or returns early when ctx ends.
func (b *Backoff) Pause(ctx context.Context) {
	clock.Pause(ctx, b.source.Jitter(b.next))
	b.next = min(2*b.next, b.most)
}

// Reset begins anew, after a try that succeeded.
func (b *Backoff) Reset() {
	b.next = b.least
}
