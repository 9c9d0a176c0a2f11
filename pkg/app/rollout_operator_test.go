package app

import (
	"fmt"
	"time"

	"quaydock/platform"
)

// rolloutOrder is the duration of the operator's order, and the defect of the new version.
type rolloutOrder struct {
	duration time.Duration
	defect   defect
}

// sinceOrder is the time since the order, as a fraction of the order's duration.
func (b *rolloutBed) sinceOrder() float64 {
	return float64(time.Since(b.began)-warmUp) / float64(b.order.duration)
}

// operate acts as the operator: it places the order, starts targets of the new version, and acts on the state.
func (b *rolloutBed) operate() {
	time.Sleep(warmUp - time.Since(b.began))
	b.store.Put(platform.TableOperators, "rollout/"+bedService, fmt.Appendf(nil, `{"service":%q,"target_version":%q,"duration_s":%g}`, bedService, newVersion, b.order.duration.Seconds()))
	for i := range playEngines {
		time.Sleep(time.Duration(b.draw(60)) * time.Millisecond)
		b.startEngine(newVersion, i)
	}
	for time.Since(b.began) < warmUp+b.order.duration+20*time.Second {
		time.Sleep(20 * time.Millisecond)
		row, found := b.store.Get(platform.TableStatus, "rollout/"+bedService)
		if !found {
			continue
		}
		if b.handleState(string(row.Value)) {
			return
		}
	}
}

// handleState does what an operator does in a state, and reports whether the state is final.
func (b *rolloutBed) handleState(state string) bool {
	b.mu.Lock()
	if state != b.state {
		b.states = append(b.states, fmt.Sprintf("%.2f %s", b.sinceOrder(), state))
	}
	b.state = state
	b.mu.Unlock()
	switch state {
	case fmt.Sprintf(`{"target_version":%q,"state":"completed"}`, newVersion):
		b.retire(oldVersion)
		return true
	case fmt.Sprintf(`{"target_version":%q,"state":"rolled_back"}`, newVersion):
		time.Sleep(2 * time.Second)
		for _, e := range b.enginesOf(newVersion) {
			b.writeRow(e, "draining")
		}
		time.Sleep(3 * time.Second)
		b.retire(newVersion)
		return true
	}
	return false
}
