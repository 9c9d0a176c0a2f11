package dispatch

import (
	"context"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
)

// adopt has a planner begin with what an earlier home has learned; the lock is
// held. What no earlier home has told this entry is read from the store, once.
func (h *Owner) adopt(g *hosted, service ids.Service) {
	if l := h.memory.of(service); l != nil {
		g.planner.Adopt(l)
		return
	}
	h.readNotes.Do(func() { go h.memory.read(context.Background(), h.noted) })
}

// noted takes what was read of a service.
func (h *Owner) noted(service ids.Service, _ *planner.Estimates) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.groups[service]; g != nil {
		h.adopt(g, service)
	}
}

// teach passes on what this home has learned.
func (h *Owner) teach(ctx context.Context, now clock.Millis) {
	lessons := make(map[ids.Service]*planner.Estimates)
	h.mu.Lock()
	for service, g := range h.groups {
		if l := g.planner.Estimates(); l != nil {
			lessons[service] = l
		}
	}
	h.mu.Unlock()
	for service, l := range lessons {
		h.memory.tell(ctx, now, service, l)
	}
}
