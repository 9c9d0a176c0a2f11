package ingress

import (
	"fmt"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// trailEntry is one decision about a request, or one event in its course.
type trailEntry struct {
	at     clock.Millis
	what   string     // ends so that the target's id may follow
	target ids.Target // empty if none is concerned
}

// addToTrail adds a decision to a request's trail, which is logged if the request fails or is answered late.
func (r *request) addToTrail(now clock.Millis, what string, target ids.Target) {
	r.trail = append(r.trail, trailEntry{at: now, what: what, target: target})
}

// triedTargets returns the ids of the targets in tried.
func (r *request) triedTargets() []ids.Target {
	list := make([]ids.Target, 0, len(r.tried))
	for _, incarnation := range r.tried {
		list = append(list, incarnation.Target)
	}
	return list
}

// formatTrail returns the trail with times since the request arrived.
func (r *request) formatTrail() []string {
	list := make([]string, 0, len(r.trail))
	for _, m := range r.trail {
		text := fmt.Sprintf("+%d ms %s", m.at-r.arrived, m.what)
		if m.target != "" {
			text += " " + string(m.target)
		}
		list = append(list, text)
	}
	return list
}
