package streams

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
)

// maxUnseen is for how long this entry may know nothing new of the targets without missing one: a target's row stays for
// longer.
const maxUnseen = 2 * clock.Second

// feedGaps passes the rows of targets on to a handler, and tells when targets may have come and gone unseen: the rows
// were read as a whole after more than maxUnseen, or one has gone that was never read.
type feedGaps struct {
	follow.Handler
	origins   *Origins
	currentAt clock.Millis // when the rows were last known to be current; 0 before
	keys      map[string]bool
}

// ObserveTargets returns a handler for the rows of targets that passes them on to another one.
func (o *Origins) ObserveTargets(next follow.Handler) follow.Handler {
	return &feedGaps{Handler: next, origins: o, keys: make(map[string]bool)}
}

// Snapshot passes a snapshot on.
func (g *feedGaps) Snapshot(rows []follow.Row, freshness follow.Freshness) {
	if g.currentAt > 0 && freshness.CurrentAt-g.currentAt > maxUnseen {
		g.origins.MissedTargets()
	}
	g.currentAt = max(g.currentAt, freshness.CurrentAt)
	clear(g.keys)
	for _, row := range rows {
		g.keys[row.Key] = true
	}
	g.Handler.Snapshot(rows, freshness)
	g.origins.targetsRead(freshness.Position)
}

// Changed passes changes on.
func (g *feedGaps) Changed(rows []follow.Row, freshness follow.Freshness) {
	missed := false
	for _, row := range rows {
		missed = missed || row.Gone && !g.keys[row.Key]
		if row.Gone {
			delete(g.keys, row.Key)
		} else {
			g.keys[row.Key] = true
		}
	}
	if missed && freshness.CurrentAt-g.currentAt > maxUnseen {
		g.origins.MissedTargets()
	}
	g.currentAt = max(g.currentAt, freshness.CurrentAt)
	g.Handler.Changed(rows, freshness)
	g.origins.targetsRead(freshness.Position)
}
