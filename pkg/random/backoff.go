package random

import (
	"context"

	"quaydock/pkg/clock"
)

// Backoff waits between tries, each time about twice as long as before, up to a
// limit. It is not safe for concurrent use.
type Backoff struct {
	source   *Source
	shortest clock.Millis
	longest  clock.Millis
	next     clock.Millis // the next wait, before jitter
}

// NewBackoff returns a backoff whose waits grow from shortest to longest.
func (s *Source) NewBackoff(shortest, longest clock.Millis) *Backoff {
	return &Backoff{source: s, shortest: shortest, longest: longest, next: shortest}
}

// Pause waits before the next try, for half of the wait at least (Jitter), or returns early when ctx ends.
func (b *Backoff) Pause(ctx context.Context) {
	clock.Pause(ctx, b.source.Jitter(b.next))
	b.next = min(2*b.next, b.longest)
}

// Reset returns to the shortest wait, after a try that succeeded.
func (b *Backoff) Reset() {
	b.next = b.shortest
}
