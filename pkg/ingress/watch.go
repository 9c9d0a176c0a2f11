package ingress

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/forward"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
	"quaydock/pkg/streams"
)

const (
	// minStallTime and stallEventGaps give the silence in the middle of a stream after which another target is
	// searched for: the longer of minStallTime and stallEventGaps times the route's event gap. The answer is late by
	// then, but can still be complete before the caller gives up.
	minStallTime   = clock.Second
	stallEventGaps = 2
)

// errRedispatched ends an exchange whose target is given up for another one.
var errRedispatched = errors.New("re-dispatched: another target takes over from a silent one")

// stallTime returns the silence in the middle of a stream after which another target is searched for.
func stallTime(q *request) clock.Millis {
	return max(minStallTime, stallEventGaps*q.route.EventGap)
}

// watchState is the state of a watch.
type watchState int

const (
	// watchRunning: the target has the request, and may be silent.
	watchRunning watchState = iota
	// watchGivenUp: the target is gone and has been given up for another one that has not answered yet.
	watchGivenUp
	// watchReplaced: another target has taken over.
	watchReplaced
	// watchClosed: the exchange is over, or the rest of its answer is relayed as it arrives.
	watchClosed
)

// watch starts a search for another target while the target that runs a request is silent. The exchange with the silent
// target goes on until the other one has responded: most silent targets are only slow, as all are under load, and an
// exchange that has been ended can't be resumed.
type watch struct {
	delivery *delivery
	target   *routing.Target
	// movable is false if the request may not be sent to another target. Of the fields below only exchangeCtx and
	// endExchange are used then.
	movable     bool
	requestCtx  context.Context // of the whole request, over all its exchanges
	exchangeCtx context.Context
	endExchange context.CancelCauseFunc // cancels exchangeCtx
	closed      chan struct{}           // closed by close

	mu    sync.Mutex // guards the fields below
	state watchState
	// began is the request as searches see it, with the present exchange counted.
	began       request
	origin      *streams.Origin // where the stream began, if the target has sent an event
	silentSince clock.Millis    // when the target last sent an event, or got the request
	timer       *time.Timer     // starts the next search; nil until first armed
	search      *search         // the newest one, nil before the first
	usage       searchUsage     // of searches that failed or took over, since the last settle
}

// searchUsage is what searches have used of the request's limits. Its fields are added to those of the same names of
// the request.
type searchUsage struct {
	sends, sent, declines int
	tried                 []ids.TargetIncarnation
	trail                 []trailEntry
}

// watch begins an exchange of a request with the target of an assignment. If the request may not be sent to another
// target, the watch starts no searches.
func (d *delivery) watch(ctx context.Context, q *request, assignment schedule.Assignment) *watch {
	if !d.movable(q) || d.Ablation.Off(ablation.Moves) {
		return &watch{delivery: d, target: assignment.Target(), exchangeCtx: ctx, endExchange: func(error) {}}
	}
	exchangeCtx, end := context.WithCancelCause(ctx)
	w := d.newWatch(ctx, exchangeCtx, end, q, assignment)
	w.began.sends++
	w.began.tried = append(w.began.tried, assignment.Target().Incarnation())
	if redispatched := assignment.Redispatched(); redispatched != nil {
		go w.followOwner(redispatched)
	}
	return w
}

// watchTakeover continues an exchange that a search has begun and has counted among its sends.
func (d *delivery) watchTakeover(ctx context.Context, q *request, t *takeover) *watch {
	if !d.movable(q) {
		return &watch{delivery: d, target: t.assignment.Target(), exchangeCtx: t.ctx, endExchange: t.endExchange}
	}
	return d.newWatch(ctx, t.ctx, t.endExchange, q, t.assignment)
}

// newWatch returns a watch of a movable request, which counts the exchange as one that may have run.
func (d *delivery) newWatch(requestCtx, exchangeCtx context.Context, end context.CancelCauseFunc, q *request, assignment schedule.Assignment) *watch {
	w := &watch{
		delivery: d, target: assignment.Target(), movable: true, requestCtx: requestCtx, exchangeCtx: exchangeCtx, endExchange: end,
		closed: make(chan struct{}), began: *q, silentSince: q.placedAt,
	}
	w.began.sent++ // the target may run it
	w.began.trail = nil
	w.began.tried = slices.Clone(q.tried)
	return w
}

// followOwner starts a search once the owner of the service reports that the present target gives no response.
func (w *watch) followOwner(redispatched <-chan struct{}) {
	select {
	case <-redispatched:
		w.startSearch()
	case <-w.closed:
	}
}

// recordEvent records an event of a stream in an answer, which ends a search under way; order is what the caller has with
// it. It reports false if the target has been given up. The target's silence doesn't count until restartTimer is called,
// as the caller may be slow to read the event.
func (w *watch) recordEvent(order eventOrder, a *forward.Answer) bool {
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
	w.began.order = order
	if w.origin == nil {
		w.origin = w.delivery.originAt(&w.began, w.target, a)
	}
	return true
}

// restartTimer counts the target's silence from now on.
func (w *watch) restartTimer() {
	if !w.movable {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silentSince = w.delivery.Clock.Now()
	w.armTimer()
}

// armTimer schedules a search after a further silence of stallTime. The caller holds the lock.
func (w *watch) armTimer() {
	wait := stallTime(&w.began).Duration()
	if w.timer == nil {
		w.timer = time.AfterFunc(wait, w.startSearch)
		return
	}
	w.timer.Reset(wait)
}

// startSearch starts a search for another target while the watch is running. If the previous search has not ended yet,
// it is called again after a further silence.
func (w *watch) startSearch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.state != watchRunning:
	case w.search != nil && !w.search.isDone():
		w.armTimer() // the previous search is about to end
	default:
		w.search = newSearch(w)
		go w.search.run()
	}
}

// copyRequest returns a copy of the request for a search, with what earlier searches have used and what the caller has. The caller holds the lock.
func (w *watch) copyRequest() *request {
	q := w.began
	q.sends += w.usage.sends
	q.sent += w.usage.sent
	q.declines += w.usage.declines
	q.tried = slices.Concat(q.tried, w.usage.tried)
	if w.origin != nil {
		q.origin = w.origin
	}
	return &q
}

// searchFailed counts what a failed search has used, and schedules another one in case the target stays silent.
func (w *watch) searchFailed(s *search) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.usage.add(s)
	if w.state == watchRunning && s.q.sent < w.began.route.Attempts {
		w.armTimer()
	}
}

// replaceTarget gives the target up for another one that has responded. It reports false if the first target has
// responded just before, or if the search or the exchange with the other target has been cancelled.
func (w *watch) replaceTarget(s *search, t *takeover) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == watchClosed || s.ctx.Err() != nil || t.ctx.Err() != nil {
		return false
	}
	w.state = watchReplaced
	w.usage.add(s)
	s.takeover = t
	w.endExchange(errRedispatched)
	return true
}

// giveUp ends the exchange with a target that is gone, so that the search may take longer than maxOverlap.
// The caller holds the lock.
func (w *watch) giveUp() {
	w.state = watchGivenUp
	w.endExchange(errRedispatched)
}

// add adds what a search has used: sends are exchanges that reached a target, sent those that may have run there. The
// exchange that has taken over is counted as sent when it ends. The search's list of tried targets begins with those
// tried before it, which are left out here; its trail begins empty.
func (u *searchUsage) add(s *search) {
	u.sends += s.q.sends - s.began.sends
	u.sent += s.q.sent - s.began.sent
	u.declines += s.q.declines - s.began.declines
	u.tried = append(u.tried, s.q.tried[len(s.began.tried):]...)
	u.trail = append(u.trail, s.q.trail...)
}

// awaitReplacement returns the outcome of an exchange: the given result of the exchange, or that another target has
// taken over. If the target has failed or declined during a search, it waits for the search to end.
func (w *watch) awaitReplacement(result attempt) attempt {
	s := w.newestSearch()
	if s == nil || !allowsReplacement(result) {
		return result
	}
	s.firstGone.Store(true)
	<-s.finished
	if s.takeover == nil {
		return result
	}
	s.relayed = true
	_, notRun := result.(declined)
	return handedOver{to: s.takeover, notRun: notRun}
}

// allowsReplacement reports whether another target may take over after a result.
func allowsReplacement(result attempt) bool {
	switch result.(type) {
	case lost, declined:
		return true
	default:
		return false
	}
}

// newestSearch returns the newest search, which may have ended, or nil before the first.
func (w *watch) newestSearch() *search {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.search
}

// isSearching reports whether a search is under way and still needed.
func (w *watch) isSearching() bool {
	s := w.newestSearch()
	return s != nil && !s.isDone() && s.ctx.Err() == nil
}

// isGivenUp reports whether this entry has given the target up.
func (w *watch) isGivenUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == watchGivenUp || w.state == watchReplaced
}

// endText describes the end of an answer in the request's trail: whether this entry ended it, or something else did.
func (w *watch) endText() string {
	if w.isGivenUp() {
		return "given up"
	}
	return "broken off"
}

// completeAnswer ends the watch when a complete answer has arrived, and counts what searches have used. It reports
// false if the target has been given up.
func (w *watch) completeAnswer(q *request) bool {
	if !w.movable {
		return true
	}
	s, ok := w.stop(false)
	if !ok {
		return false
	}
	if s != nil {
		s.cancel(errNotNeeded)
		<-s.finished
		w.settle(q)
	}
	return true
}

// close ends the watch and its exchange, and counts what searches have used. It must be called once, by the goroutine
// that serves the request.
func (w *watch) close(q *request) {
	defer w.endExchange(nil)
	if !w.movable {
		return
	}
	close(w.closed)
	if s, _ := w.stop(true); s != nil {
		s.cancel(errNotNeeded)
		<-s.finished
		if s.drop() {
			w.usage.sent++ // the target that had taken over may have run it
		}
	}
	w.settle(q)
}

// stop prevents further searches, and returns the newest one, nil if there was none. If the target has been given up
// and evenIfGivenUp is not set, it does nothing and reports false.
func (w *watch) stop(evenIfGivenUp bool) (*search, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !evenIfGivenUp && (w.state == watchGivenUp || w.state == watchReplaced) {
		return nil, false
	}
	w.state = watchClosed
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.search, true
}

// settle adds what searches have used to the request, once. It needs no lock, as it is called when no search is running
// and none can start.
func (w *watch) settle(q *request) {
	q.addUsage(&w.usage)
	w.usage = searchUsage{}
}

// addUsage adds what searches have used, and sorts the trail by time.
func (r *request) addUsage(u *searchUsage) {
	r.sends += u.sends
	r.sent += u.sent
	r.declines += u.declines
	r.tried = append(r.tried, u.tried...)
	r.trail = append(r.trail, u.trail...)
	slices.SortStableFunc(r.trail, func(a, b trailEntry) int { return int(a.at - b.at) })
}
