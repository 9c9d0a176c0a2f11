// Package random is the only source of a process's random choices. The same seed
// gives the same choices if the goroutines draw in the same order.
package random

import (
	"math/rand/v2"
	"sync"

	"quaydock/pkg/clock"
)

// Source generates random values. It is safe for concurrent use.
type Source struct {
	mu        sync.Mutex // guards generator, which is not safe for concurrent use
	generator *rand.Rand
}

// NewSource returns a source with the given seed; 0 chooses a random seed.
func NewSource(seed uint64) *Source {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Source{generator: rand.New(rand.NewPCG(seed, 0))}
}

// Fork returns a new generator for one decision. It is not safe for concurrent use.
func (s *Source) Fork() *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.New(rand.NewPCG(s.generator.Uint64(), s.generator.Uint64()))
}

// Jitter returns a random duration from half of wait to wait, so that many
// processes do not retry at the same time. The wait must not be negative.
func (s *Source) Jitter(wait clock.Millis) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wait/2 + clock.Millis(s.generator.Int64N(int64(wait/2)+1))
}

// DurationUpTo returns a random duration from 0 to longest, inclusive. It panics if longest is negative.
func (s *Source) DurationUpTo(longest clock.Millis) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clock.Millis(s.generator.Int64N(int64(longest) + 1))
}
