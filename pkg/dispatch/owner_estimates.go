package dispatch

import (
	"context"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
)

// adoptEstimates starts a planner with the estimates of a former owner; the caller holds the lock. If no
// former owner has sent any to this entry, they are read from the store, once.
func (h *Owner) adoptEstimates(g *servicePlanner, service ids.Service) {
	if l := h.estimates.get(service); l != nil {
		g.planner.Adopt(l)
		return
	}
	h.loadEstimates.Do(func() { go h.estimates.load(context.Background(), h.estimatesLoaded) })
}

// estimatesLoaded applies estimates that were read from the store.
func (h *Owner) estimatesLoaded(service ids.Service, _ *planner.Estimates) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.planners[service]; g != nil {
		h.adoptEstimates(g, service)
	}
}

// replicateEstimates sends the estimates of this owner's planners to their successors, and saves them.
func (h *Owner) replicateEstimates(ctx context.Context, now clock.Millis) {
	byService := make(map[ids.Service]*planner.Estimates)
	h.mu.Lock()
	for service, g := range h.planners {
		if l := g.planner.Estimates(); l != nil {
			byService[service] = l
		}
	}
	h.mu.Unlock()
	for service, l := range byService {
		h.estimates.replicate(ctx, now, service, l)
	}
}
