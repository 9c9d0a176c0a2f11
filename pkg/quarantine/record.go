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

// TargetEnd is one incarnation of a target that ended while it ran a request, or a request with a part.
type TargetEnd struct {
	Incarnation ids.TargetIncarnation `json:"life"`
	// Again says that an earlier end was known when the run began, so that it was the only run of its digest. If a
	// failure domain is lost, many targets end under a popular request at once, and none of these runs was a further
	// try.
	Again bool `json:"again,omitempty"`
	// Excused says that the request has been completed since, so that something else ended the target.
	Excused bool `json:"excused,omitempty"`
	// Rank is how many ends in a row, each of a run that was sent when the one before was known, preceded this one. Only
	// ends of parts have one. Ends that come at the same time, as where a failure domain is lost, have the same rank.
	Rank int `json:"rank,omitempty"`
}

// Record is what is known against one request, or against one part of the prompts of a service. Records of different
// entries are merged: an incarnation counts once, however many entries saw its end, and the order of reports does not
// matter.
type Record struct {
	Digest Digest `json:"digest"`
	// Account and Route are those of a request, empty for a part.
	Account ids.Account `json:"account,omitempty"`
	Route   ids.Route   `json:"route,omitempty"`
	// Service and Part are those of a part; Service is empty for a request.
	Service ids.Service    `json:"service,omitempty"`
	Part    ids.PromptPart `json:"part,omitempty"`
	Ends    []TargetEnd    `json:"ends"`
	// Cleared is the rank below which ends of a part do not count: a run that was sent when they were known was not ended
	// by the part.
	Cleared int `json:"cleared,omitempty"`
	// Retrials is the number of runs permitted after it was quarantined.
	Retrials int `json:"retrials,omitempty"`
}

// partHeldLevel is the number of target ends in a row from which on a part is quarantined. Two such ends in a row are
// common among the innocent parts of long answers while targets end one after the other.
const partHeldLevel = 3

// isPart reports whether the record is of a part.
func (r *Record) isPart() bool { return r.Service != "" }

// nextRank returns the rank of the end of a run with the part that is sent now.
func (r *Record) nextRank() int {
	next := r.Cleared
	for _, e := range r.Ends {
		next = max(next, e.Rank+1)
	}
	return next
}

// level returns the number of target ends in a row that count against the part.
func (r *Record) level() int { return r.nextRank() - r.Cleared }

// counts reports whether an end counts against the request or part.
func (r *Record) counts(e TargetEnd) bool { return !e.Excused && e.Rank >= r.Cleared }

// join merges another record of the same request and reports whether anything is new. The account stays: the register
// counts records by it, and the row of another writer may name another one.
func (r *Record) join(other *Record) bool {
	before := r.clone()
	for _, e := range other.Ends {
		r.add(e)
	}
	r.Retrials = max(r.Retrials, other.Retrials)
	r.Cleared = max(r.Cleared, other.Cleared)
	return r.Retrials != before.Retrials || r.Cleared != before.Cleared || !slices.Equal(before.Ends, r.Ends)
}

// covers reports whether a record contains everything that another one does.
func (r *Record) covers(other *Record) bool {
	for _, e := range other.Ends {
		if !slices.ContainsFunc(r.Ends, e.coveredBy) {
			return false
		}
	}
	return r.Retrials >= other.Retrials && r.Cleared >= other.Cleared
}

// coveredBy reports whether other says everything that e says.
func (e TargetEnd) coveredBy(other TargetEnd) bool {
	return other.Incarnation == e.Incarnation && (other.Again || !e.Again) && (other.Excused || !e.Excused) && other.Rank >= e.Rank
}

// add adds a target end, or the flags of one that is known. If there are more than maxEnds, the weakest evidence is
// dropped.
func (r *Record) add(e TargetEnd) {
	i := slices.IndexFunc(r.Ends, func(known TargetEnd) bool { return known.Incarnation == e.Incarnation })
	if i >= 0 {
		r.Ends[i].Again = r.Ends[i].Again || e.Again
		r.Ends[i].Excused = r.Ends[i].Excused || e.Excused
		r.Ends[i].Rank = max(r.Ends[i].Rank, e.Rank)
	} else {
		r.Ends = append(r.Ends, e)
	}
	slices.SortFunc(r.Ends, compareEnds)
	r.Ends = r.Ends[:min(len(r.Ends), maxEnds)]
}

// compareEnds sorts the strongest evidence first, in the same way at every entry: those of the highest rank, ends of runs
// with Again, other ends, and last the excused ones; among equals by target and start.
func compareEnds(a, b TargetEnd) int {
	return cmp.Or(
		cmp.Compare(b.Rank, a.Rank),
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

// excuse excuses all target ends, since the request, or one with the part, has been completed. It reports whether one was
// not excused before.
func (r *Record) excuse() bool {
	if r.isPart() {
		return r.clear(r.nextRank())
	}
	changed := false
	for i := range r.Ends {
		changed = changed || !r.Ends[i].Excused
		r.Ends[i].Excused = true
	}
	return changed
}

// clear excuses the ends of a part below a rank: a run of a request with it that was sent when they were known has not
// ended its target. It reports whether one was not excused before.
func (r *Record) clear(rank int) bool {
	rank = min(rank, r.nextRank())
	if rank <= r.Cleared {
		return false
	}
	r.Cleared = rank
	return true
}

// countEnds counts the ends that are not excused. again says whether one of these runs began when an earlier end was
// known.
func (r *Record) countEnds() (count int, again bool) { return r.countEndsBut(nil) }

// countEndsBut is countEnds without the ends of incarnations in other, which ended for another reason.
func (r *Record) countEndsBut(other map[ids.TargetIncarnation]bool) (count int, again bool) {
	for _, e := range r.Ends {
		if r.counts(e) && !other[e.Incarnation] {
			count++
			again = again || e.Again
		}
	}
	return count, again
}

// verdict returns what may be done with the request, by its target ends that are not excused and not of incarnations in
// other: each is the end of a target's process while it ran the request. With strict, the first end is enough for
// quarantine. Otherwise a request is quarantined once a target has ended in a run that began when an earlier end was known.
// The earlier end may belong to the same incarnation as far as the target list shows: while the store is unavailable, a
// restart is not reported. Waiting for a third end would cost one more target. If two ends of concurrent runs were enough,
// innocent requests would be quarantined wherever many targets end at once.
//
// Of a part, which many innocent requests may have, it returns Held from partHeldLevel ends in a row on, with strict from
// the first one on, and Free before.
func (r *Record) verdict(strict bool, other map[ids.TargetIncarnation]bool) Verdict {
	if r.isPart() {
		if level := r.level(); level >= partHeldLevel || strict && level > 0 {
			return Held
		}
		return Free
	}
	count, again := r.countEndsBut(other)
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
