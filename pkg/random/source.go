// Package random is the one source of a process's random choices. A seed
// repeats them, as far as goroutines draw in the same order.
package random

import (
	"math/rand/v2"
	"sync"

	"quaydock/pkg/clock"
)

// Source may be used by several goroutines.
type Source struct {
	mu   sync.Mutex
	from *rand.Rand
}

// NewSource returns a source with the given seed; 0 draws one.
func NewSource(seed uint64) *Source {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Source{from: rand.New(rand.NewPCG(seed, 0))}
}

// Fork returns a generator for one decision, to be used by one goroutine.
func (s *Source) Fork() *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.New(rand.NewPCG(s.from.Uint64(), s.from.Uint64()))
}

// Jitter draws from half of wait to the whole, so that many processes do not
// come back at the same moment.
func (s *Source) Jitter(wait clock.Millis) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wait/2 + clock.Millis(s.from.Int64N(int64(wait/2)+1))
}

// Within draws from 0 to most.
func (s *Source) Within(most clock.Millis) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clock.Millis(s.from.Int64N(int64(most) + 1))
}
