package planner

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// floor keeps lower tiers from being served for a while after one was refused,
// so that what was shed does not see lower work take its place. In the tier
// itself, what is late does not take the place of what could have been in time:
// runs are not cut short, so that a place given to a late one is missing to those
// that come next. It goes together with the order by size; neither gains by itself.
type floor struct {
	tiers map[ids.TierRank]clock.Millis // refused in the tier, up to when it counts
	fresh map[ids.TierRank]clock.Millis // of these, those that came for the first time
}

const (
	// floorHold is how long lower work waits after a refusal. While refusals go on,
	// it is renewed.
	floorHold = 250 * clock.Millisecond
	// floorPlaces is for how many places it waits where targets get few jobs by a rate: refusals are as rare as these
	// places, and between two of them lower work would get places that higher work was refused.
	floorPlaces = 10.0
	// floorMost is how long it waits at the most.
	floorMost = 2 * clock.Second
)

// floorHold is how long lower work waits after a refusal.
func (p *Planner) floorHold(now clock.Millis) clock.Millis {
	if len(p.bounded) == 0 {
		return floorHold
	}
	return min(floorMost, max(floorHold, clock.Millis(floorPlaces*float64(clock.Second)/p.perSecond(now))))
}

func (f *floor) raise(now clock.Millis, w *waiting, hold clock.Millis) {
	if f.tiers == nil {
		f.tiers = make(map[ids.TierRank]clock.Millis)
		f.fresh = make(map[ids.TierRank]clock.Millis)
	}
	until := now + hold
	f.tiers[w.Tier] = until
	if !w.Returned {
		f.fresh[w.Tier] = until
	}
}

// below reports whether a tier lies below one that was refused a moment ago.
func (f *floor) below(now clock.Millis, tier ids.TierRank) bool {
	for refused, until := range f.tiers {
		if refused < tier && now < until {
			return true
		}
	}
	return false
}

// behind reports whether a job is late while a fresh one of its tier was refused a
// moment ago.
func (f *floor) behind(now clock.Millis, w *waiting) bool {
	return w.late(now) && now < f.fresh[w.Tier]
}
