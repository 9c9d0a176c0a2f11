package planner

import (
	"maps"
	"slices"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/fairshare"
	"quaydock/pkg/ids"
)

// floor holds back lower tiers for a while after a job was refused, so that they do not get the slots that the
// refused job lacked. Within a tier, late jobs do not get the slots of jobs that could have been in time: runs are
// not preempted, so a slot given to a late job is missing for the next arrivals. This works together with the order
// by size; neither improves the results alone.
type floor struct {
	until      map[ids.TierRank]clock.Millis // by tier of a refused job: end of the hold
	freshUntil map[tierClass]clock.Millis    // the same for refused jobs on their first attempt
}

// tierClass is a tier and a class of accounts in it.
type tierClass struct {
	tier  ids.TierRank
	class fairshare.Class
}

const (
	// floorHold is how long lower tiers wait after a refusal. Each further refusal renews it.
	floorHold = 250 * clock.Millisecond
	// floorSlots is the hold in numbers of released slots, which replaces floorHold where it takes longer and some
	// targets are cold or report a rate limit: there refusals are as rare as released slots, and between two of them
	// lower tiers would get slots for which higher ones were refused.
	floorSlots = 10.0
	// maxFloorHold limits the hold by floorSlots.
	maxFloorHold = 2 * clock.Second
)

// holdAfterRefusal returns how long lower tiers wait after a refusal: longer than floorHold only if some targets are
// cold or report a rate limit (see floorSlots).
func (p *Planner) holdAfterRefusal(now clock.Millis) clock.Millis {
	if len(p.rateLimited) == 0 {
		return floorHold
	}
	return min(maxFloorHold, max(floorHold, clock.Millis(floorSlots*float64(clock.Second)/p.releaseRate(now))))
}

// floorFor returns the floor that the refusal of a job raises: that of all targets, or only that of the targets of the
// version that it may get.
func (p *Planner) floorFor(job *Job) *floor {
	if job.Version == nil {
		return &p.floor
	}
	f := p.versionFloors[*job.Version]
	if f == nil {
		f = &floor{}
		p.versionFloors[*job.Version] = f
	}
	return f
}

// heldForVersion reports whether a job must leave the slots of a target to jobs that go before it: one that may only get
// targets of this version was refused recently.
func (p *Planner) heldForVersion(now clock.Millis, w *queuedJob, t *target) bool {
	f := p.versionFloors[t.Version]
	return f != nil && p.heldBy(now, f, w)
}

// heldBy reports whether a floor holds a job back.
func (p *Planner) heldBy(now clock.Millis, f *floor, w *queuedJob) bool {
	below := f.below(now, w.Tier) && !p.off.Off(ablation.TierFloor)
	return below || f.behind(now, w) && !p.off.Off(ablation.LateFloor)
}

// forgetVersionFloors removes the floors of versions that no target offers any more.
func (p *Planner) forgetVersionFloors() {
	maps.DeleteFunc(p.versionFloors, func(version ids.Version, _ *floor) bool {
		return !slices.ContainsFunc(p.offered, func(t *target) bool { return t.Version == version })
	})
}

// raise starts or renews the hold for a job that is refused.
func (f *floor) raise(now clock.Millis, w *queuedJob, hold clock.Millis) {
	if f.until == nil {
		f.until = make(map[ids.TierRank]clock.Millis)
		f.freshUntil = make(map[tierClass]clock.Millis)
	}
	until := now + hold
	f.until[w.Tier] = until
	if !w.Retried {
		f.freshUntil[tierClass{w.Tier, w.class}] = until
	}
}

// below reports whether a tier is lower than one in which a job was refused recently.
func (f *floor) below(now clock.Millis, tier ids.TierRank) bool {
	for refused, until := range f.until {
		if refused < tier && now < until {
			return true
		}
	}
	return false
}

// behind reports whether a job is late while one of its tier was recently refused on its first attempt that would go
// before it.
func (f *floor) behind(now clock.Millis, w *queuedJob) bool {
	if !w.late(now) {
		return false
	}
	for class := range lastBeforeLate(w.class) + 1 {
		if now < f.freshUntil[tierClass{w.Tier, class}] {
			return true
		}
	}
	return false
}

// holdsLate reports whether late jobs of some tier are held back at some targets.
func (p *Planner) holdsLate(now clock.Millis) bool {
	for _, f := range p.versionFloors {
		if f.holdsLate(now) {
			return true
		}
	}
	return p.floor.holdsLate(now)
}

// holdsLate reports whether late jobs of some tier are held back.
func (f *floor) holdsLate(now clock.Millis) bool {
	for _, until := range f.freshUntil {
		if now < until {
			return true
		}
	}
	return false
}
