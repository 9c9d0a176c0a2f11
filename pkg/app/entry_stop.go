package app

import (
	"context"

	"quaydock/pkg/clock"
	"quaydock/pkg/ingress"
)

const (
	// endMargin is kept from the time at which the platform kills a process.
	endMargin = 400 * clock.Millisecond
	// finalAnswerTime is the part of endMargin in which callers are told what became of the requests
	// that are left.
	finalAnswerTime = 100 * clock.Millisecond
	// leaveTime is how long a process that is stopped goes on taking new
	// connections, until the balancer has seen that it is not ready.
	leaveTime = 2600 * clock.Millisecond
	// doorMargin is how long before its end a process takes no connection any more,
	// whoever else is ready.
	doorMargin = 500 * clock.Millisecond
	doorEvery  = 50 * clock.Millisecond
)

// door is what decides whether an entry that is being stopped goes on taking connections.
type door struct {
	// few says that less than half of the entries are ready.
	few bool
	// running is how many requests run for which the process has to stay anyway.
	running int
	// left is the time until the process has to end.
	left clock.Millis
}

// open reports whether connections are taken. While most entries are stopped within
// seconds of one another the balancer hands callers to closed ports; one that has to stay
// for a long answer can serve short ones meanwhile, and tell the others when to come
// back. It does not stay for that alone: the sooner it ends, the sooner it is back.
func (d door) open() bool {
	return d.few && d.running > 0 && d.left > doorMargin
}

// stopAt is the course of a stop whose signal comes now. Where the grace is short, less is
// taken before the balancer has noticed: one that waits for the balancer would be killed while it takes
// everything.
func stopAt(now, grace clock.Millis) ingress.Stop {
	end := max(0, grace-endMargin)
	return ingress.Stop{RestrictsFrom: now + min(leaveTime, end/2), EndsAt: now + end}
}

// drain stops the entry without cutting a request: it is not ready any more,
// goes on serving until the balancer has noticed, then takes nothing more, or only what
// is short while too few others are ready, and ends when nothing runs, or just before it
// would be killed.
func (p *entryProcess) drain() {
	stop := stopAt(p.Clock.Now(), clock.Millis(p.grace.Load()))
	p.controller.Leave(stop)
	p.members.Leave()
	p.Clock.PauseUntil(context.Background(), stop.RestrictsFrom)
	for p.door(stop.EndsAt).open() {
		clock.Pause(context.Background(), doorEvery)
	}
	limited, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.end(limited, cancel, stop.EndsAt)
	// Shutdown closes the listener and what rests, so that no request is taken
	// that could not be ended in time.
	err := p.callers.Shutdown(limited)
	p.Log.WithError(err).WithField("running", p.controller.Running()).Info("stopped")
}

// end gives the requests that are left their final answers at a moment, and then has nobody waited
// for. On a VM that is suspended meanwhile a timer would go off after the process is killed.
func (p *entryProcess) end(ctx context.Context, done context.CancelFunc, at clock.Millis) {
	p.Clock.PauseUntil(ctx, at)
	if ctx.Err() != nil {
		return // nothing is left
	}
	p.controller.End()
	p.Clock.PauseUntil(ctx, at+finalAnswerTime)
	done()
}

func (p *entryProcess) door(end clock.Millis) door {
	return door{few: p.members.MinorityRemains(), running: p.controller.RunningUnrestricted(), left: end - p.Clock.Now()}
}
