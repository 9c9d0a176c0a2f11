package app

import (
	"context"

	"quaydock/pkg/clock"
	"quaydock/pkg/ingress"
)

const (
	// killMargin is the time between the end of a drain and the moment at which the platform kills
	// the process.
	killMargin = 400 * clock.Millisecond
	// finalAnswerTime is the part of killMargin in which the callers of unfinished requests get a
	// final answer that says what became of them.
	finalAnswerTime = 100 * clock.Millisecond
	// handOverTime is the time before the end of a drain in which the kernel takes what callers have not
	// read yet.
	handOverTime = 400 * clock.Millisecond
	// minHandOverTime is left for that even if the process is late, as on a VM that was suspended.
	minHandOverTime = 50 * clock.Millisecond
	// balancerNoticeTime is how long a process that is stopped goes on accepting new connections,
	// until the balancer has seen that it is not ready.
	balancerNoticeTime = 2600 * clock.Millisecond
	// closeMargin is how long before its end a process stops accepting connections, even if
	// no other entry is ready.
	closeMargin        = 500 * clock.Millisecond
	closeCheckInterval = 50 * clock.Millisecond // between two checks whether to stop accepting connections
)

// acceptState determines whether an entry that is being stopped goes on accepting connections.
type acceptState struct {
	// minorityReady says that less than half of the listed entries are alive and not leaving.
	minorityReady bool
	// running is the number of running requests that keep the process alive anyway.
	running int
	// remaining is the time until the process has to end.
	remaining clock.Millis
}

// accepts reports whether new connections are accepted. If most entries are stopped within
// seconds of one another, the balancer sends callers to closed ports. An entry that has to stay
// for a long answer can serve short requests meanwhile, and tell the other callers when to
// retry. It does not stay for that alone: the sooner it ends, the sooner it is back.
func (d acceptState) accepts() bool {
	return d.minorityReady && d.running > 0 && d.remaining > closeMargin
}

// stopAt returns the schedule of a drain whose signal comes now. If the grace is short, the
// restriction starts before the balancer has noticed: a process that waited for the balancer would be
// killed while it still admits all requests. Now and the times returned are by the entry's clock.
func stopAt(now, grace clock.Millis) ingress.Stop {
	end := max(0, grace-killMargin)
	return ingress.Stop{RestrictsFrom: now + min(balancerNoticeTime, end/2), EndsAt: now + end}
}

// drain stops the entry without breaking off a request. The entry reports that it is not ready,
// serves on until the balancer has noticed, and then accepts nothing more, or only short
// requests while too few other entries are ready. It ends when no request runs, or just before
// it would be killed.
func (p *entryProcess) drain() {
	stop := stopAt(p.Clock.Now(), clock.Millis(p.grace.Load()))
	p.controller.Leave(stop)
	p.members.Leave()
	p.Clock.PauseUntil(context.Background(), stop.RestrictsFrom)
	for p.acceptState(stop.EndsAt).accepts() {
		clock.Pause(context.Background(), closeCheckInterval)
	}
	limited, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.endRemaining(limited, cancel, stop.EndsAt)
	// Shutdown closes the listener and the connections without a request. Requests that are still arriving are served or
	// refused, as there is time.
	err := p.callers.Shutdown(limited)
	p.Log.WithError(err).WithField("running", p.controller.Running()).Info("stopped")
}

// endRemaining gives the unfinished requests their final answers at the given time, and shortly after it
// ends the wait for them. It uses the suspension-aware clock: on a VM that is suspended meanwhile, a timer
// would fire after the process is killed.
func (p *entryProcess) endRemaining(ctx context.Context, done context.CancelFunc, at clock.Millis) {
	p.Clock.PauseUntil(ctx, at-handOverTime)
	p.controller.HandOver()
	p.Clock.PauseUntil(ctx, max(at, p.Clock.Now()+minHandOverTime))
	if ctx.Err() != nil {
		return // all requests have ended
	}
	p.controller.End()
	p.callers.EndReads()
	p.Clock.PauseUntil(ctx, at+finalAnswerTime)
	done()
}

// acceptState returns the present state of a drain that ends at a moment.
func (p *entryProcess) acceptState(end clock.Millis) acceptState {
	return acceptState{minorityReady: p.members.MinorityRemains(), running: p.controller.RunningUnrestricted(), remaining: end - p.Clock.Now()}
}
