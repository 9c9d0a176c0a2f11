package quarantine

import (
	"cmp"
	"slices"

	"quaydock/pkg/ids"
)

// Verdict is what may be done with a request.
type Verdict int

//go:generate stringer -type=Verdict -output=verdict_string.go

// The verdicts.
const (
	// Free: nothing is recorded against it.
	Free Verdict = iota
	// Suspect: targets have ended while they ran it. It runs exclusively, once at a time over all entries, so that one
	// more target end is stronger evidence and costs only one target.
	Suspect
	// Held: it is quarantined and does not run.
	Held
)

// maxEnds limits the target ends that are kept for one request, those that are the strongest evidence.
const maxEnds = 8

// TargetEnd is one incarnation of a target that ended while it ran a request.
type TargetEnd struct {
	_           struct{}              `cbor:",toarray"`
	Incarnation ids.TargetIncarnation `json:"life"`
	// Again says that an earlier end was known when the run began, so that it was the only run of its digest. If a
	// failure domain is lost, many targets end under a popular request at once, and none of these runs was a further
	// try.
	Again bool `json:"again,omitempty"`
	// Excused says that the request has been completed since, so that something else ended the target.
	Excused bool `json:"excused,omitempty"`
}

// Record is what is known against one request. Records of different entries are merged: an incarnation counts once,
// however many entries saw its end, and the order of reports does not matter.
type Record struct {
	_       struct{}    `cbor:",toarray"`
	Digest  Digest      `json:"digest"`
	Account ids.Account `json:"account,omitempty"`
	Route   ids.Route   `json:"route,omitempty"`
	Ends    []TargetEnd `json:"ends"`
	// Retrials is the number of runs permitted after it was quarantined.
	Retrials int `json:"retrials,omitempty"`
}

// join merges another record of the same request and reports whether anything is new. The account stays: the register
// counts records by it, and the row of another writer may name another one.
func (r *Record) join(other *Record) bool {
	before, retrials := slices.Clone(r.Ends), r.Retrials
	for _, e := range other.Ends {
		r.add(e)
	}
	r.Retrials = max(r.Retrials, other.Retrials)
	return r.Retrials != retrials || !slices.Equal(before, r.Ends)
}

// covers reports whether a record contains everything that another one does.
func (r *Record) covers(other *Record) bool {
	for _, e := range other.Ends {
		if !slices.ContainsFunc(r.Ends, e.coveredBy) {
			return false
		}
	}
	return r.Retrials >= other.Retrials
}

// coveredBy reports whether other says everything that e says.
func (e TargetEnd) coveredBy(other TargetEnd) bool {
	return other.Incarnation == e.Incarnation && (other.Again || !e.Again) && (other.Excused || !e.Excused)
}

// add adds a target end, or the flags of one that is known. If there are more than maxEnds, the weakest evidence is
// dropped.
func (r *Record) add(e TargetEnd) {
	i := slices.IndexFunc(r.Ends, func(known TargetEnd) bool { return known.Incarnation == e.Incarnation })
	if i >= 0 {
		r.Ends[i].Again = r.Ends[i].Again || e.Again
		r.Ends[i].Excused = r.Ends[i].Excused || e.Excused
	} else {
		r.Ends = append(r.Ends, e)
	}
	slices.SortFunc(r.Ends, compareEnds)
	r.Ends = r.Ends[:min(len(r.Ends), maxEnds)]
}

// compareEnds sorts the strongest evidence first, in the same way at every entry: ends of runs with Again, other ends,
// and last the excused ones; among equals by target and start.
func compareEnds(a, b TargetEnd) int {
	return cmp.Or(
		compareFlags(b.Again && !b.Excused, a.Again && !a.Excused), compareFlags(a.Excused, b.Excused),
		cmp.Compare(a.Incarnation.Target, b.Incarnation.Target), cmp.Compare(a.Incarnation.Start, b.Incarnation.Start),
	)
}

// compareFlags sorts false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// excuse excuses all target ends, since the request has been completed. It reports whether one was not excused before.
func (r *Record) excuse() bool {
	changed := false
	for i := range r.Ends {
		changed = changed || !r.Ends[i].Excused
		r.Ends[i].Excused = true
	}
	return changed
}

// countEnds counts the ends that are not excused. again says whether one of these runs began when an earlier end was
// known.
func (r *Record) countEnds() (count int, again bool) {
	for _, e := range r.Ends {
		if !e.Excused {
			count++
			again = again || e.Again
		}
	}
	return count, again
}

// verdict returns what may be done with the request, by its target ends that are not excused: each is the end of a
// target's process while it ran the request. With strict, the first end is enough for quarantine. Otherwise a request
// is quarantined once a target has ended in a run that began when an earlier end was known. The earlier end may belong
// to the same incarnation as far as the target list shows: while the store is unavailable, a restart is not reported.
// Waiting for a third end would cost one more target. If two ends of concurrent runs were enough, innocent requests
// would be quarantined wherever many targets end at once.
func (r *Record) verdict(strict bool) Verdict {
	count, again := r.countEnds()
	switch {
	case count == 0:
		return Free
	case strict, again:
		return Held
	default:
		return Suspect
	}
}

// clone returns a copy that shares no memory.
func (r *Record) clone() Record {
	c := *r
	c.Ends = slices.Clone(r.Ends)
	return c
}
