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
	// Free: nothing is known against it.
	Free Verdict = iota
	// Suspect: targets have ended while they ran it. It runs once at a time over all entries, so
	// that one more end says more, and costs one target.
	Suspect
	// Held: it does not run.
	Held
)

// keptEnds bounds the ends that are kept of one request.
const keptEnds = 8

// End is one life of a target that ended while it ran a request.
type TargetEnd struct {
	_           struct{}              `cbor:",toarray"`
	Incarnation ids.TargetIncarnation `json:"life"`
	// Again says that the run began when an earlier end was known: it was the only one of its
	// digest then. Where a failure domain is lost, many targets end under a popular request at
	// once, and none of these runs was one more try.
	Again bool `json:"again,omitempty"`
	// Excused says that the request has been completed since: something else ended the target.
	Excused bool `json:"excused,omitempty"`
}

// Record is what is known against one request. Records of different entries are joined: a life
// counts once, however many entries saw its end, and no order of news matters.
type Record struct {
	_       struct{}    `cbor:",toarray"`
	Digest  Digest      `json:"digest"`
	Account ids.Account `json:"account,omitempty"`
	Route   ids.Route   `json:"route,omitempty"`
	Ends    []TargetEnd `json:"ends"`
	// Retrials is how often it was run once more after it had been held back.
	Retrials int `json:"retrials,omitempty"`
}

// join adds what another record of the same request knows. It reports whether anything is new. The
// account stays: the register counts records by it, and another writer's row may name another one.
func (r *Record) join(other *Record) bool {
	before, retrials := slices.Clone(r.Ends), r.Retrials
	for _, e := range other.Ends {
		r.add(e)
	}
	r.Retrials = max(r.Retrials, other.Retrials)
	return r.Retrials != retrials || !slices.Equal(before, r.Ends)
}

// covers reports whether a record knows all that another one does.
func (r *Record) covers(other *Record) bool {
	for _, e := range other.Ends {
		if !slices.ContainsFunc(r.Ends, e.within) {
			return false
		}
	}
	return r.Retrials >= other.Retrials
}

// within reports whether an end says all that e says.
func (e TargetEnd) within(other TargetEnd) bool {
	return other.Incarnation == e.Incarnation && (other.Again || !e.Again) && (other.Excused || !e.Excused)
}

// add adds an end.
func (r *Record) add(e TargetEnd) {
	i := slices.IndexFunc(r.Ends, func(known TargetEnd) bool { return known.Incarnation == e.Incarnation })
	if i >= 0 {
		r.Ends[i].Again = r.Ends[i].Again || e.Again
		r.Ends[i].Excused = r.Ends[i].Excused || e.Excused
	} else {
		r.Ends = append(r.Ends, e)
	}
	slices.SortFunc(r.Ends, compareEnds)
	r.Ends = r.Ends[:min(len(r.Ends), keptEnds)]
}

// compareEnds puts first what says most, the same way at every entry.
func compareEnds(a, b TargetEnd) int {
	return cmp.Or(
		compareFlags(b.Again && !b.Excused, a.Again && !a.Excused), compareFlags(a.Excused, b.Excused),
		cmp.Compare(a.Incarnation.Target, b.Incarnation.Target), cmp.Compare(a.Incarnation.Start, b.Incarnation.Start),
	)
}

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

// excuse notes that the request has been completed. It reports whether that is new.
func (r *Record) excuse() bool {
	changed := false
	for i := range r.Ends {
		changed = changed || !r.Ends[i].Excused
		r.Ends[i].Excused = true
	}
	return changed
}

// standing counts the ends that are not excused; again says whether one of these runs began when
// an earlier end was known.
func (r *Record) standing() (count int, again bool) {
	for _, e := range r.Ends {
		if !e.Excused {
			count++
			again = again || e.Again
		}
	}
	return count, again
}

// verdict returns what may be done with the request; strict has the first end be enough. It is held
// back once a target has ended in a run that began when an earlier end was known. The earlier end may be
// of the same life as far as the list of targets tells: with the store away, nobody hears that it has
// started again. To wait for a third end would cost one target more; if two ends in runs at the same time were
// enough, innocent requests would be held back wherever many targets end at once.
func (r *Record) verdict(strict bool) Verdict {
	count, again := r.standing()
	switch {
	case count == 0:
		return Free
	case strict, again:
		return Held
	default:
		return Suspect
	}
}

// clone returns a copy that shares nothing.
func (r *Record) clone() Record {
	c := *r
	c.Ends = slices.Clone(r.Ends)
	return c
}
