package quarantine

import (
	"bytes"
	"cmp"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Report is what operators are told of a request that is held back.
type Report struct {
	Record
	// For is since when it is held back as far as this entry knows, RetryIn in what time it may run once
	// more at the soonest.
	For     clock.Millis `json:"for_ms"`
	RetryIn clock.Millis `json:"retry_in_ms"`
}

// Held lists the requests that are held back.
func (r *Register) Held(now clock.Millis) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Report
	for _, e := range r.records {
		if e.heldAt > 0 {
			list = append(list, Report{Record: e.clone(), For: now - e.heldAt, RetryIn: e.readyIn(now)})
		}
	}
	slices.SortFunc(list, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.For, b.For), bytes.Compare(a.Digest[:], b.Digest[:]))
	})
	return list
}

// HeldCount is how many requests are held back.
func (r *Register) HeldCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, h := range r.accounts {
		count += h.held
	}
	return count
}

// HeldLives lists the lives that ended under requests that are held back.
func (r *Register) HeldIncarnations() []ids.TargetIncarnation {
	if r.Len() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var lives []ids.TargetIncarnation
	for _, e := range r.records {
		if e.heldAt == 0 {
			continue
		}
		for _, end := range e.Ends {
			if !end.Excused {
				lives = append(lives, end.Incarnation)
			}
		}
	}
	return lives
}

// Len is how many requests there is something against.
func (r *Register) Len() int { return int(r.count.Load()) }

// Get returns a record.
func (r *Register) Get(d Digest) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[d]
	if e == nil {
		return Record{}, false
	}
	return e.clone(), true
}
