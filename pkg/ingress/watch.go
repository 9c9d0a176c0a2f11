package ingress

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
)

const (
	// stallFloor and stallGaps are after what silence in the middle of a stream another target is
	// looked for: the answer is late by then, but can still be whole before the caller gives it up.
	stallFloor = clock.Second
	stallGaps  = 2
)

// errMoved ends an exchange whose target is given up for another one.
var errMoved = errors.New("another target is to take over from a silent one")

func stallTime(q *request) clock.Millis {
	return max(stallFloor, stallGaps*q.route.EventGap)
}

// watchState is how far a watch has come.
type watchState int

const (
	// watchRunning: the target has the request, and may be silent.
	watchRunning watchState = iota
	// watchGivenUp: the target has been given up, as it is gone, for one that has not answered yet.
	watchGivenUp
	// watchReplaced: another target has taken over.
	watchReplaced
	// watchClosed: the exchange is over, or what is left of its answer is passed on as it comes.
	watchClosed
)

// watch looks for another target while the one that has a request is silent. The silent one goes on
// until the other has shown a sign of life: most silent targets are only slow, as all are
// under load, and one that is given up before cannot be had back.
type watch struct {
	delivery *delivery
	target   *routing.Target
	// movable is false if the request may not be sent to another target; nothing below is used then, but exchangeCtx.
	movable     bool
	requestCtx  context.Context
	exchangeCtx context.Context
	endExchange context.CancelCauseFunc
	closed      chan struct{}

	mu    sync.Mutex
	state watchState
	// began is the request as it is for searches, with the present exchange counted.
	began     request
	lastEvent int64
	hasEvent  bool
	signAt    clock.Millis // when the target last gave a sign of life, or got the request
	timer     *time.Timer
	search    *search // the newest one, nil before the first
	spent     spent
}

// spent is what searches have used of what a request may use.
type spent struct {
	sends, sent, declines int
	tried                 []ids.TargetIncarnation
	trail                 []mark
}

// watch begins an exchange of a request with the target of a place.
func (d *delivery) watch(ctx context.Context, q *request, place schedule.Assignment) *watch {
	if !d.movable(q) || d.Ablation.Off(ablation.Moves) {
		return &watch{delivery: d, target: place.Target(), exchangeCtx: ctx, endExchange: func(error) {}}
	}
	exchangeCtx, end := context.WithCancelCause(ctx)
	w := d.newWatch(ctx, exchangeCtx, end, q, place)
	w.began.sends++
	w.began.tried = append(w.began.tried, place.Target().Incarnation())
	if moved := place.Moved(); moved != nil {
		go w.heedHome(moved)
	}
	return w
}

// watchTakeover goes on with an exchange that a search has begun, and has counted among its sends.
func (d *delivery) watchTakeover(ctx context.Context, q *request, t *takeover) *watch {
	if !d.movable(q) {
		return &watch{delivery: d, target: t.place.Target(), exchangeCtx: t.ctx, endExchange: t.end}
	}
	return d.newWatch(ctx, t.ctx, t.end, q, t.place)
}

func (d *delivery) newWatch(requestCtx, exchangeCtx context.Context, end context.CancelCauseFunc, q *request, place schedule.Assignment) *watch {
	w := &watch{
		delivery: d, target: place.Target(), movable: true, requestCtx: requestCtx, exchangeCtx: exchangeCtx, endExchange: end,
		closed: make(chan struct{}), began: *q, signAt: q.placedAt,
	}
	w.began.sent++ // the target may run it
	w.began.trail = nil
	w.began.tried = slices.Clone(q.tried)
	return w
}

// heedHome looks for another target once the home of the service tells that the present one gives no sign of life.
func (w *watch) heedHome(moved <-chan struct{}) {
	select {
	case <-moved:
		w.fallSilent()
	case <-w.closed:
	}
}

// sign notes an event of a stream, a sign of life of the target. It reports false if the target has been given up.
// Until listen is called the target's silence does not count: the caller may take its time.
func (w *watch) sign(e event) bool {
	if !w.movable {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != watchRunning {
		return false
	}
	if w.search != nil {
		w.search.cancel(errNotNeeded)
	}
	if w.timer != nil {
		w.timer.Stop()
	}
	if e.has {
		w.lastEvent, w.hasEvent = e.id, true
	}
	return true
}

// listen has the target's silence count from now on.
func (w *watch) listen() {
	if !w.movable {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.signAt = w.delivery.Clock.Now()
	w.awaitSign()
}

// awaitSign has another target looked for after a further silence; the lock is held.
func (w *watch) awaitSign() {
	wait := stallTime(&w.began).Duration()
	if w.timer == nil {
		w.timer = time.AfterFunc(wait, w.fallSilent)
		return
	}
	w.timer.Reset(wait)
}

// fallSilent looks for another target.
func (w *watch) fallSilent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.state != watchRunning:
	case w.search != nil && !w.search.isDone():
		w.awaitSign() // the one before is about to end
	default:
		w.search = newSearch(w)
		go w.search.run()
	}
}

// copied is a copy of the request for a search; the lock is held.
func (w *watch) copied() *request {
	q := w.began
	q.sends += w.spent.sends
	q.sent += w.spent.sent
	q.declines += w.spent.declines
	q.tried = slices.Concat(q.tried, w.spent.tried)
	if w.hasEvent {
		q.lastEvent, q.hasEvent = w.lastEvent, true
	}
	return &q
}

// failed takes what a search without success has used, and has another one follow if the target stays silent.
func (w *watch) failed(s *search) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spent.add(s)
	if w.state == watchRunning && s.q.sent < w.began.route.Attempts {
		w.awaitSign()
	}
}

// win gives the target up for another one that has answered. It reports false if the target has shown a sign
// of life just before.
func (w *watch) win(s *search, t *takeover) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == watchClosed || s.ctx.Err() != nil || t.ctx.Err() != nil {
		return false
	}
	w.state = watchReplaced
	w.spent.add(s)
	s.takeover = t
	w.endExchange(errMoved)
	return true
}

// giveUp ends the exchange with a target that is gone, for a search that needs more time.
// The lock is held.
func (w *watch) giveUp() {
	w.state = watchGivenUp
	w.endExchange(errMoved)
}

// add takes in what a search has used. The exchange that has taken over counts as sent where it ends.
func (u *spent) add(s *search) {
	u.sends += s.q.sends - s.began.sends
	u.sent += s.q.sent - s.began.sent
	u.declines += s.q.declines - s.began.declines
	u.tried = append(u.tried, s.q.tried[len(s.began.tried):]...)
	u.trail = append(u.trail, s.q.trail...)
}

// awaitReplacement returns what became of a request: the given result of the exchange, or that another target has
// taken over. If the target has failed or declined while another one is looked for, this waits for the other.
func (w *watch) awaitReplacement(result attempt) attempt {
	s := w.newest()
	if s == nil || !leavesToAnother(result) {
		return result
	}
	s.firstGone.Store(true)
	<-s.done
	if s.takeover == nil {
		return result
	}
	s.relayed = true
	_, notRun := result.(declined)
	return handedOver{to: s.takeover, notRun: notRun}
}

// leavesToAnother reports whether a result leaves the request to another target.
func leavesToAnother(result attempt) bool {
	switch result.(type) {
	case lost, declined:
		return true
	default:
		return false
	}
}

func (w *watch) newest() *search {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.search
}

// searches reports whether another target is being looked for.
func (w *watch) searches() bool {
	s := w.newest()
	return s != nil && !s.isDone() && s.ctx.Err() == nil
}

// isGivenUp reports whether this entry has given the target up.
func (w *watch) isGivenUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == watchGivenUp || w.state == watchReplaced
}

// ending says who ended an answer: this entry, or something else.
func (w *watch) ending() string {
	if w.isGivenUp() {
		return "given up"
	}
	return "broken off"
}

// answered ends the watch as a whole answer is there, and counts what searches have used. It reports false if
// the target has been given up.
func (w *watch) answered(q *request) bool {
	if !w.movable {
		return true
	}
	s, ok := w.stop(false)
	if !ok {
		return false
	}
	if s != nil {
		s.cancel(errNotNeeded)
		<-s.done
		w.settle(q)
	}
	return true
}

// close ends the watch, and with it the exchange, and counts what searches have used.
func (w *watch) close(q *request) {
	defer w.endExchange(nil)
	if !w.movable {
		return
	}
	close(w.closed)
	if s, _ := w.stop(true); s != nil {
		s.cancel(errNotNeeded)
		<-s.done
		if s.drop() {
			w.spent.sent++
		}
	}
	w.settle(q)
}

// stop has no further search begin, and returns the newest one. Unless it is to stop in any case, it reports false
// and does nothing if the target has been given up.
func (w *watch) stop(always bool) (*search, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !always && (w.state == watchGivenUp || w.state == watchReplaced) {
		return nil, false
	}
	w.state = watchClosed
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.search, true
}

// settle counts what searches have used, once. No search goes on any more.
func (w *watch) settle(q *request) {
	q.count(&w.spent)
	w.spent = spent{}
}

// count adds what searches have used.
func (r *request) count(u *spent) {
	r.sends += u.sends
	r.sent += u.sent
	r.declines += u.declines
	r.tried = append(r.tried, u.tried...)
	r.trail = append(r.trail, u.trail...)
	slices.SortStableFunc(r.trail, func(a, b mark) int { return int(a.at - b.at) })
}
