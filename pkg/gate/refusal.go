package gate

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/ids"
)

// refusal returns why a ticket is declined on arrival, or control.NoReason. If the reason is control.Full, it also
// raises the floor to the ticket's tier.
func (g *Gate) refusal(now clock.Millis, ticket *control.Ticket) control.RefuseReason {
	switch {
	case g.leaving:
		return control.Leaving
	case !g.services[ticket.Service]:
		return control.NotPlaced
	case ticket.Remaining <= 0:
		return control.Late
	case g.queue.Has(ticket.Request):
		return control.Replaced
	case g.floorAt(now).Higher(ticket.Tier):
		g.raiseFloor(now, ticket.Tier)
		return control.Full
	}
	if g.unit.minRunTime(ticket.Work()) >= ticket.Remaining {
		return control.Late
	}
	if backoff := g.backoffLeft(now); backoff > 0 && backoff+g.unit.minRunTime(ticket.Work()) >= ticket.Remaining {
		g.raiseFloor(now, ticket.Tier)
		return control.Full // not Late: the request may come back after the back-off
	}
	if (g.full(ticket) || g.cannotMeetDeadline(ticket)) && !g.servesBelow(ticket.Tier) {
		g.raiseFloor(now, ticket.Tier)
		return control.Full
	}
	return control.NoReason
}

// full reports whether work of the ticket's tier and above fills the queue; an empty queue is never full. A request
// that returns from an assignment that came to nothing is not refused because of requests that have come meanwhile;
// such returns are few.
func (g *Gate) full(ticket *control.Ticket) bool {
	return !ticket.Returned && g.queue.Len() > 0 && g.queue.WorkAtOrAbove(ticket.Tier)+ticket.Work() > g.queueLimit()
}

// cannotMeetDeadline reports whether the work queued before the ticket takes longer
// than its deadline allows, even if nothing of a higher tier arrives any more. It returns
// false while no drain rate has been measured.
func (g *Gate) cannotMeetDeadline(ticket *control.Ticket) bool {
	if g.drain.perSecond <= 0 || g.queue.Len() == 0 {
		return false
	}
	before := float64(g.queue.WorkAtOrAbove(ticket.Tier)) / g.drain.perSecond
	left := ticket.Remaining - g.unit.minRunTime(ticket.Work())
	return before*float64(clock.Second) > float64(left)
}

// servesBelow reports whether work below tier is queued, granted or running. While
// it is, no ticket of tier is refused, even beyond the queue limit: running work
// is not aborted to free slots, but it must not be served in place of a
// higher tier either.
func (g *Gate) servesBelow(tier ids.TierRank) bool {
	for i, n := range g.activeByTier {
		if n > 0 && tier.Higher(ids.TierRank(i)) {
			return true
		}
	}
	lowest, waits := g.queue.lowestTier()
	return waits && tier.Higher(lowest)
}

// countActive counts a grant of a tier that has been opened.
func (g *Gate) countActive(tier ids.TierRank) {
	for len(g.activeByTier) <= int(tier) {
		g.activeByTier = append(g.activeByTier, 0)
	}
	g.activeByTier[tier]++
}

// raiseFloor refuses tiers below the given one for a while after a ticket of it was shed,
// so that a shed request does not see lower work served in its place. Each tier has
// its own hold time: a tier that is shed only because a higher one was shed a moment ago
// still needs the full hold time for itself.
func (g *Gate) raiseFloor(now clock.Millis, tier ids.TierRank) {
	for len(g.floorUntil) <= int(tier) {
		g.floorUntil = append(g.floorUntil, 0)
	}
	g.floorUntil[tier] = now + g.limits.FloorHold
}

// floorAt returns the lowest tier that is still admitted; ids.BelowAllTiers if every
// tier is.
func (g *Gate) floorAt(now clock.Millis) ids.TierRank {
	for i, until := range g.floorUntil {
		if now < until {
			return ids.TierRank(i)
		}
	}
	return ids.BelowAllTiers
}

// queueLimit returns the work that may be queued: what the target finishes within Limits.QueueTime at its measured
// rate, but at least Limits.QueueMin.
func (g *Gate) queueLimit() ids.Tokens {
	measured := g.drain.perSecond * float64(g.limits.QueueTime) / float64(clock.Second)
	return max(g.limits.QueueMin, ids.Tokens(measured))
}

// evict declines queued tickets of tiers below the given one until the queue is within its limit. An
// evicted ticket is shed like one that is refused on arrival, so the same rules apply:
// no eviction while anything below its tier is served, and nothing below its tier is
// admitted for a while afterwards.
func (g *Gate) evict(now clock.Millis, tier ids.TierRank) {
	for g.queue.Work() > g.queueLimit() {
		w := g.queue.lowest()
		if w == nil || !tier.Higher(w.ticket.Tier) || g.servesBelow(w.ticket.Tier) {
			return
		}
		g.raiseFloor(now, w.ticket.Tier)
		g.declineQueued(w, control.Full)
	}
}
