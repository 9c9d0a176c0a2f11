package quarantine

import (
	"fmt"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// A part of prompts is quarantined once targets have ended in a row under requests of a service that have it, each in a
// run that was sent when the end before was known, and none of these ends has been excused. What is common to innocent
// requests, such as a system prompt, is excused by each of them that is answered.

// maxParts limits the parts of one prompt that are considered, the first ones.
const maxParts = 32

// Start says what was known against the parts of a request when it was sent to a target. Its zero value stands for
// nothing.
type Start struct {
	ranks []int // by part, the rank that the end of the run would have; nil if all are 0
}

// HasParts reports whether there is a record of any part.
func (r *Register) HasParts() bool { return r.partCount.Load() > 0 }

// Start returns what is known against the parts of a request that is sent now.
func (r *Register) Start(q Request) Start {
	if !r.HasParts() || len(q.Parts) == 0 {
		return Start{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var s Start
	for i, part := range q.parts() {
		e := r.records[IdentifyPart(q.Service, part)]
		if e == nil {
			continue
		}
		if s.ranks == nil {
			s.ranks = make([]int, len(q.parts()))
		}
		s.ranks[i] = e.nextRank()
	}
	return s
}

// None reports whether nothing was known.
func (s Start) None() bool { return s.ranks == nil }

// String lists the ranks in the order of the parts; it is empty if nothing was known.
func (s Start) String() string {
	if s.None() {
		return ""
	}
	return fmt.Sprint(s.ranks)
}

// rank returns the rank of the ith part.
func (s Start) rank(i int) int {
	if s.None() {
		return 0
	}
	return s.ranks[i]
}

// parts returns the parts that are considered.
func (q Request) parts() []ids.PromptPart { return q.Parts[:min(len(q.Parts), maxParts)] }

// HeldParts returns the digests of the parts of a request that are quarantined.
func (r *Register) HeldParts(now clock.Millis, q Request) []Digest {
	if !r.HasParts() || len(q.Parts) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.parts.held == 0 {
		return nil
	}
	var held []Digest
	for _, part := range q.parts() {
		d := IdentifyPart(q.Service, part)
		if e := r.records[d]; e != nil && e.heldAt > 0 && !slices.Contains(held, d) {
			e.lastSeen = now
			held = append(held, d)
		}
	}
	return held
}

// HeldFor returns for how long this entry knows a request or part to be quarantined, 0 if it is not.
func (r *Register) HeldFor(now clock.Millis, d Digest) clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.records[d]; e != nil && e.heldAt > 0 {
		return now - e.heldAt
	}
	return 0
}

// Survived excuses the ends of the parts of a request that were known when it was sent, since its target went on. It
// returns the changes.
func (r *Register) Survived(now clock.Millis, q Request, s Start) []Change {
	if s.None() || !r.HasParts() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []Change
	for i, part := range q.parts() {
		e := r.records[IdentifyPart(q.Service, part)]
		if e == nil {
			continue
		}
		before := r.verdict(e)
		if e.clear(s.rank(i)) {
			changes = append(changes, r.updateVerdict(now, e, true, before))
		}
	}
	return changes
}

// partChanged follows a change of the record of a part that is quarantined, or was until now: its ends say of requests
// whether their targets ended for another reason. The caller holds the lock.
func (r *Register) partChanged(now clock.Millis) {
	explained := make(map[ids.TargetIncarnation]bool)
	clear(r.heldParts)
	for _, part := range r.records {
		if !part.isPart() || part.heldAt == 0 {
			continue
		}
		r.heldParts[part.Part]++
		for _, end := range part.Ends {
			if part.counts(end) {
				explained[end.Incarnation] = true
			}
		}
	}
	former := r.explained
	r.explained = explained
	for _, request := range r.records {
		if !request.isPart() && (request.endedIn(former) || request.endedIn(explained)) {
			r.reconsider(now, request)
		}
	}
}

// endedIn reports whether one of a record's ends is of an incarnation in a set.
func (r *Record) endedIn(set map[ids.TargetIncarnation]bool) bool {
	for _, end := range r.Ends {
		if set[end.Incarnation] {
			return true
		}
	}
	return false
}

// reconsider applies the rule to a request after explained has changed. If it is no longer quarantined, the suspicion
// against its account on its route ends too. The caller holds the lock.
func (r *Register) reconsider(now clock.Millis, e *trackedRecord) {
	was := e.heldAt > 0
	r.updateVerdict(now, e, false, Free)
	if was && e.heldAt == 0 {
		delete(r.accounts[e.Account].routes, e.Route)
	}
}
