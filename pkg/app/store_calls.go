package app

import (
	"strconv"
	"sync"

	"quaydock/pkg/common"
	"quaydock/pkg/history"
	"quaydock/platform"
)

// storeCalls counts the calls of the store by outcome, and logs when the store has returned from a copy.
type storeCalls struct {
	common.Common

	mu  sync.Mutex  // guards era
	era history.Era // the highest in an answer; 0 before the first
}

// newStoreCalls returns counters of calls, and registers the gauge of the store's era.
func newStoreCalls(c common.Common) *storeCalls {
	s := &storeCalls{Common: c}
	c.Metrics.Prometheus.Gauge("store_era", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.era)
	})
	return s
}

// record records the outcome of a call.
func (s *storeCalls) record(o platform.CallOutcome) {
	outcome := "no answer"
	if o.Status > 0 {
		outcome = strconv.Itoa(o.Status)
	}
	s.Metrics.Prometheus.Add("store_calls", "outcome", o.Path+" "+outcome)
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Era <= s.era {
		return
	}
	if s.era > 0 {
		s.Log.WithField("former_era", int64(s.era)).WithField("era", int64(o.Era)).WithField("call", o.Path).WithField("status", o.Status).
			Warn("the store has returned from a copy of its contents: what was written since that copy is lost")
	}
	s.era = o.Era
}
