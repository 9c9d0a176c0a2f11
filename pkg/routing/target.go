package routing

import (
	"cmp"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Target is one incarnation of a model engine's or plain service's process.
type Target struct {
	ID ids.Target
	// Start distinguishes this incarnation from others under the same id.
	Start   ids.Start
	Service ids.Service
	Address string
	Domain  ids.FailureDomain
	Slots   int  // how many requests it runs at once
	Leaving bool // it has reported that it is shutting down
	// Drained says that operators have drained its failure domain. RestoredAt is when this entry read that the domain
	// was restored, 0 if it has not.
	Drained    bool
	RestoredAt clock.Millis
	// ColdFor is how much longer the target stays cold by its newest row, and ColdUntil when that time ends, counted
	// from when this entry read the row.
	ColdFor   clock.Millis
	ColdUntil clock.Millis
	// Version is the version of its software.
	Version ids.Version
	// ListedRevision is a store revision at which this incarnation was listed: that of its first row, or a
	// later one if this entry has not seen the first. Revision is that of its newest row.
	ListedRevision, Revision int64
	// Admission says whether its version may get requests.
	Admission Admission
	// Undeclared says that no stream may begin at its version yet, as the store does not name it.
	Undeclared bool
}

// Incarnation identifies this incarnation of the target.
func (t *Target) Incarnation() ids.TargetIncarnation {
	return ids.TargetIncarnation{Target: t.ID, Start: t.Start}
}

// Cold reports whether the target can take only a limited rate of requests, or possibly so: it may have become cold while
// its failure domain was drained, without having reported it yet. The service is the target's own, nil if unknown.
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

// Admission says whether a target may get requests, by the version that it runs.
type Admission int

//go:generate stringer -type=Admission -output=admission_string.go

// The admissions.
const (
	// Admitted targets may get all requests.
	Admitted Admission = iota
	// OnTrial targets run a canary version: they get requests that are marked for its trial.
	OnTrial
	// Withheld targets get no requests.
	Withheld
)

// Directory is one version of the target list. It is immutable.
type Directory struct {
	all       []*Target                 // ordered by id, as all lists are
	byService map[ids.Service][]*Target // those that Serving lists
	onTrial   map[ids.Service][]*Target
	byID      map[ids.Target]*Target
}

// NewDirectory builds a directory. Targets that are leaving, in a drained failure domain or withheld are known to it,
// but neither Serving nor OnTrial lists them.
func NewDirectory(targets []*Target) *Directory {
	d := &Directory{
		byService: make(map[ids.Service][]*Target),
		onTrial:   make(map[ids.Service][]*Target),
		byID:      make(map[ids.Target]*Target, len(targets)),
	}
	// Random choices among targets depend on their order in the list; the order of a map would not be reproducible.
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

// Serving lists the targets of a service that may get any new request.
func (d *Directory) Serving(service ids.Service) []*Target {
	return d.byService[service]
}

// OnTrial lists the targets of a service that run a canary version.
func (d *Directory) OnTrial(service ids.Service) []*Target {
	return d.onTrial[service]
}

// All lists all known targets, ordered by id.
func (d *Directory) All() []*Target {
	return slices.Clone(d.all)
}

// Target returns a target by id, or nil.
func (d *Directory) Target(id ids.Target) *Target {
	return d.byID[id]
}

// Replaced reports whether the incarnation listed under a target's id is certainly another one. A target that is not
// listed at all may still run and serve its requests, and so may one whose start is missing in one of its rows.
func (d *Directory) Replaced(incarnation ids.TargetIncarnation) bool {
	t := d.byID[incarnation.Target]
	return t != nil && !t.Incarnation().Same(incarnation)
}

// Len returns the number of known targets.
func (d *Directory) Len() int {
	return len(d.byID)
}
