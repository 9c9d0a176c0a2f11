package quarantine

import (
	"bytes"
	"cmp"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Report describes a quarantined request, or part of prompts, to operators.
type Report struct {
	Record
	// For is how long this entry knows it to be quarantined, and RetryIn the time until it may run once more at the
	// earliest, both in ms.
	For     clock.Millis `json:"for_ms"`
	RetryIn clock.Millis `json:"retry_in_ms"`
}

// HeldReports lists the quarantined requests and parts, the last one quarantined first.
func (r *Register) HeldReports(now clock.Millis) []Report {
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

// HeldCount returns the number of quarantined requests and parts.
func (r *Register) HeldCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := r.parts.held
	for _, h := range r.accounts {
		count += h.held
	}
	return count
}

// PartsHeldCount returns the number of quarantined parts.
func (r *Register) PartsHeldCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.parts.held
}

// HeldIncarnations lists the incarnations that ended under quarantined requests and parts; one that ended under several is listed
// for each.
func (r *Register) HeldIncarnations() []ids.TargetIncarnation {
	if r.Len() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var incarnations []ids.TargetIncarnation
	for _, e := range r.records {
		if e.heldAt == 0 {
			continue
		}
		for _, end := range e.Ends {
			if !end.Excused {
				incarnations = append(incarnations, end.Incarnation)
			}
		}
	}
	return incarnations
}

// Len returns the number of requests and parts that something is recorded against.
func (r *Register) Len() int { return int(r.count.Load()) }

// PartsLen returns the number of parts that something is recorded against.
func (r *Register) PartsLen() int { return int(r.partCount.Load()) }

// Get returns a copy of the record of a digest, false if there is none.
func (r *Register) Get(d Digest) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.records[d]
	if e == nil {
		return Record{}, false
	}
	return e.clone(), true
}
