package quarantine

import (
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/routing"
)

const (
	// doubtFor is for how long a run that broke off may still turn out to have ended its target:
	// rows lapse some seconds after their target has ended.
	doubtFor = 6 * clock.Second
	// mostDoubts bounds them.
	mostDoubts = 512
)

// doubts are runs that broke off while their targets could not be shown to have ended: a VM that
// does not answer, or a process that was started again at once.
type doubts struct {
	mu   sync.Mutex
	list []doubt
}

type doubt struct {
	run Run
	at  clock.Millis
}

// Doubt notes a run that broke off at a target that may have ended.
func (g *Guard) PossibleEnd(run Run) {
	g.doubts.mu.Lock()
	defer g.doubts.mu.Unlock()
	if len(g.doubts.list) < mostDoubts {
		g.doubts.list = append(g.doubts.list, doubt{run: run, at: g.Clock.Now()})
	}
}

// Follow takes the newest list of targets, which shows what has ended.
func (g *Guard) SetDirectory(targets *routing.Directory) {
	now := g.Clock.Now()
	var ended []Run
	g.doubts.mu.Lock()
	kept := g.doubts.list[:0]
	for _, d := range g.doubts.list {
		listed := targets.Target(d.run.Incarnation.Target)
		switch {
		case now-d.at > doubtFor:
		case listed != nil && listed.Leaving, g.leaves != nil && g.leaves(d.run.Incarnation): // it is to end
		case listed == nil || targets.Replaced(d.run.Incarnation):
			ended = append(ended, d.run)
		default:
			kept = append(kept, d)
		}
	}
	g.doubts.list = kept
	g.doubts.mu.Unlock()
	for _, run := range ended {
		g.Ended(run)
	}
}

// settle drops the doubts that are too old.
func (g *Guard) settle() {
	now := g.Clock.Now()
	g.doubts.mu.Lock()
	defer g.doubts.mu.Unlock()
	for len(g.doubts.list) > 0 && now-g.doubts.list[0].at > doubtFor {
		g.doubts.list = g.doubts.list[1:]
	}
}
