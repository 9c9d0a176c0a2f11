package telemetry

import (
	"sync"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
)

// Sampler bounds how many lines of a kind are logged in a second, and tells how
// many were left out.
type Sampler struct {
	clock clock.Clock
	log   *logrus.Entry
	most  int

	mu     sync.Mutex
	second clock.Millis
	counts map[string]int
}

// NewSampler returns a sampler that lets most lines of each kind through in a
// second.
func NewSampler(c clock.Clock, log *logrus.Entry, most int) *Sampler {
	return &Sampler{clock: c, log: log, most: most, counts: make(map[string]int)}
}

// Allow reports whether a line of a kind is to be logged.
func (s *Sampler) Allow(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := s.clock.Now() / clock.Second; second != s.second {
		s.second = second
		s.tell()
	}
	s.counts[kind]++
	return s.counts[kind] <= s.most
}

// tell logs what was left out, and begins anew.
func (s *Sampler) tell() {
	left := logrus.Fields{}
	for kind, n := range s.counts {
		if n > s.most {
			left[kind] = n - s.most
		}
		delete(s.counts, kind)
	}
	if len(left) > 0 {
		s.log.WithFields(left).Warn("log lines left out in a second, by kind")
	}
}
