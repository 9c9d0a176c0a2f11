package dispatch

import (
	"context"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
)

// adoptEstimates starts a planner with the estimates of a former owner; the caller holds the lock. If no
// former owner has sent any to this entry, they are read from the store, once in the life of this process. That
// read runs in the background, serves all services, and is not repeated if it fails. Until estimates arrive, the
// planner works without them.
func (owner *Owner) adoptEstimates(g *servicePlanner, service ids.Service) {
	if l := owner.estimates.get(service); l != nil {
		g.planner.AdoptEstimates(l)
		return
	}
	owner.loadEstimates.Do(func() { go owner.estimates.load(context.Background(), owner.estimatesLoaded) })
}

// estimatesLoaded applies estimates of a service that were read from the store. It takes them from the cache, where
// newer ones of an owner may have replaced them.
func (owner *Owner) estimatesLoaded(service ids.Service, _ *planner.Estimates) {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	if g := owner.planners[service]; g != nil {
		owner.adoptEstimates(g, service)
	}
}

// replicateEstimates sends the estimates of this owner's planners to their successors, and saves them.
func (owner *Owner) replicateEstimates(ctx context.Context, now clock.Millis) {
	byService := make(map[ids.Service]*planner.Estimates)
	owner.mu.Lock()
	for service, g := range owner.planners {
		if l := g.planner.Estimates(); l != nil {
			byService[service] = l
		}
	}
	owner.mu.Unlock()
	for service, l := range byService {
		owner.estimates.replicate(ctx, now, service, l)
	}
}
