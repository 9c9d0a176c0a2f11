package routing

import (
	"cmp"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Target is one life of an engine or plain service process.
type Target struct {
	ID ids.Target
	// Start tells this life from others under the same id.
	Start   ids.Start
	Service ids.Service
	Address string
	Domain  ids.FailureDomain
	Slots   int
	Leaving bool
	// Drained says that operators have drained its failure domain, and BackAt when this entry has read that
	// they had given it back, 0 if it has not.
	Drained    bool
	RestoredAt clock.Millis
	// ColdFor is for how long the target stays cold, by its newest row, and ColdUntil when that is over, counted
	// from when this entry has read it.
	ColdFor   clock.Millis
	ColdUntil clock.Millis
	// Version is that of its software.
	Version ids.Version
	// Listed is the store's revision at which this life of the target was first seen, at the
	// latest, and Revision that of its newest row.
	Listed, Revision int64
	// Admission says whether its version may get work.
	Admission Admission
}

// Life names this life of the target.
func (t *Target) Incarnation() ids.TargetIncarnation {
	return ids.TargetIncarnation{Target: t.ID, Start: t.Start}
}

// Cold reports whether the target bears few requests, or may do so: it need not have told yet that it became cold
// while its failure domain was drained. The service is its own, nil if it is not known what cold targets bear.
func (t *Target) Cold(now clock.Millis, s *Service) bool {
	switch {
	case s == nil:
		return now < t.ColdUntil
	case s.ColdPerSecond == 0:
		return false
	default:
		return now < t.ColdUntil || t.RestoredAt > 0 && now < t.RestoredAt+s.ColdTime
	}
}

// Admission says whether a target may get work by the version that it runs.
type Admission int

//go:generate stringer -type=Admission -output=admission_string.go

// The admissions.
const (
	// Admitted: it may get all work.
	Admitted Admission = iota
	// OnTrial: it gets what is marked for a trial.
	OnTrial
	// Withheld: it gets nothing.
	Withheld
)

// Directory lists the targets that may get work. It does not change once
// built.
type Directory struct {
	all       []*Target // by their ids, as all lists are
	byService map[ids.Service][]*Target
	onTrial   map[ids.Service][]*Target
	byID      map[ids.Target]*Target
}

// NewDirectory builds a directory; targets that are leaving, drained or withheld are known but not
// offered.
func NewDirectory(targets []*Target) *Directory {
	d := &Directory{
		byService: make(map[ids.Service][]*Target),
		onTrial:   make(map[ids.Service][]*Target),
		byID:      make(map[ids.Target]*Target, len(targets)),
	}
	// What is drawn among targets is drawn in the order of their list: a map's would not repeat.
	d.all = slices.SortedFunc(slices.Values(targets), func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	for _, t := range d.all {
		d.byID[t.ID] = t
		switch {
		case t.Leaving, t.Drained:
		case t.Admission == Admitted:
			d.byService[t.Service] = append(d.byService[t.Service], t)
		case t.Admission == OnTrial:
			d.onTrial[t.Service] = append(d.onTrial[t.Service], t)
		}
	}
	return d
}

// Serving lists the targets of a service that may get new work.
func (d *Directory) Serving(service ids.Service) []*Target {
	return d.byService[service]
}

// OnTrial lists the targets of a service whose version is on trial.
func (d *Directory) OnTrial(service ids.Service) []*Target {
	return d.onTrial[service]
}

// All lists all targets that are known, by their ids.
func (d *Directory) All() []*Target {
	return slices.Clone(d.all)
}

// Target returns a target by id, or nil.
func (d *Directory) Target(id ids.Target) *Target {
	return d.byID[id]
}

// Replaced reports whether another life is surely listed under a target's id. A target that is not
// listed at all may live on, and serve what it has, and so may one whose start is told in one row and not in another.
func (d *Directory) Replaced(life ids.TargetIncarnation) bool {
	t := d.byID[life.Target]
	return t != nil && !t.Incarnation().Same(life)
}

// Len returns how many targets are known.
func (d *Directory) Len() int {
	return len(d.byID)
}
