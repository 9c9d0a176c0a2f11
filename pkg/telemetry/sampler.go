package telemetry

import (
	"sync"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
)

// Sampler limits how many lines of each kind are logged in a second, and logs how
// many were dropped.
type Sampler struct {
	clock clock.Clock
	log   *logrus.Entry
	limit int // lines of each kind in a second

	mu     sync.Mutex     // guards all below
	second clock.Millis   // the number of the current second of the clock, not a time in ms
	counts map[string]int // lines in that second, by kind
}

// NewSampler returns a sampler that lets up to limit lines of each kind through in
// a second.
func NewSampler(c clock.Clock, log *logrus.Entry, limit int) *Sampler {
	return &Sampler{clock: c, log: log, limit: limit, counts: make(map[string]int)}
}

// Allow counts a line of a kind and reports whether to log it.
func (s *Sampler) Allow(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := s.clock.Now() / clock.Second; second != s.second {
		s.second = second
		s.reportDropped()
	}
	s.counts[kind]++
	return s.counts[kind] <= s.limit
}

// reportDropped logs how many lines of each kind were dropped in the second before and resets the counts. The
// caller holds mu.
func (s *Sampler) reportDropped() {
	dropped := logrus.Fields{}
	for kind, n := range s.counts {
		if n > s.limit {
			dropped[kind] = n - s.limit
		}
		delete(s.counts, kind)
	}
	if len(dropped) > 0 {
		s.log.WithFields(dropped).Warn("log lines left out in a second, by kind")
	}
}
