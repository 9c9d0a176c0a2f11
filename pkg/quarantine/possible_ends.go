package quarantine

import (
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/routing"
)

const (
	// possibleEndWindow is how long a broken run may still turn out to have ended its target: rows of targets expire
	// some seconds after the process has ended.
	possibleEndWindow = 6 * clock.Second
	// maxPossibleEnds limits the broken runs that are remembered; further ones are ignored.
	maxPossibleEnds = 512
)

// possibleEnds are broken runs whose targets were not known to have ended, because the VM does not answer or because
// the process was restarted at once.
type possibleEnds struct {
	mu   sync.Mutex
	list []possibleEnd // the oldest first
}

// possibleEnd is a broken run, and when it was recorded.
type possibleEnd struct {
	run Run
	at  clock.Millis
}

// RecordPossibleEnd records a broken run whose target may have ended; with maxPossibleEnds recorded it does nothing.
func (g *Guard) RecordPossibleEnd(run Run) {
	g.possibleEnds.mu.Lock()
	defer g.possibleEnds.mu.Unlock()
	if len(g.possibleEnds.list) < maxPossibleEnds {
		g.possibleEnds.list = append(g.possibleEnds.list, possibleEnd{run: run, at: g.Clock.Now()})
	}
}

// SetDirectory takes the newest target list, which shows which targets have ended: those that are no longer on it and
// those whose place a later incarnation has taken.
func (g *Guard) SetDirectory(targets *routing.Directory) {
	now := g.Clock.Now()
	var ended []Run
	g.possibleEnds.mu.Lock()
	kept := g.possibleEnds.list[:0]
	for _, d := range g.possibleEnds.list {
		listed := targets.Target(d.run.Incarnation.Target)
		switch {
		case now-d.at > possibleEndWindow:
		case listed != nil && listed.Leaving, g.leaves != nil && g.leaves(d.run.Incarnation):
			// It ends because it drains, not because of the request.
		case listed == nil || targets.Replaced(d.run.Incarnation):
			ended = append(ended, d.run)
		default:
			kept = append(kept, d)
		}
	}
	g.possibleEnds.list = kept
	g.possibleEnds.mu.Unlock()
	for _, run := range ended {
		g.RecordTargetEnd(run)
	}
}

// dropExpired drops possible ends older than possibleEndWindow.
func (g *Guard) dropExpired() {
	now := g.Clock.Now()
	g.possibleEnds.mu.Lock()
	defer g.possibleEnds.mu.Unlock()
	for len(g.possibleEnds.list) > 0 && now-g.possibleEnds.list[0].at > possibleEndWindow {
		g.possibleEnds.list = g.possibleEnds.list[1:]
	}
}
