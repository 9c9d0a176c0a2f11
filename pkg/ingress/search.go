package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/buffers"
	"quaydock/pkg/clock"
	"quaydock/pkg/eventstream"
	"quaydock/pkg/forward"
	"quaydock/pkg/planner"
	"quaydock/pkg/quarantine"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
	"quaydock/pkg/telemetry"
)

// maxOverlap is for how long two targets may run one request. A stream must not go on at one target while another has
// run it for more than 0.4 s; the difference is for the cancellation to reach the target.
const maxOverlap = 350 * clock.Millisecond

// Causes with which a search, or the exchange that it makes, is canceled.
var (
	errNotNeeded = errors.New("first target has responded")
	errTooSlow   = errors.New("no first response within the time for two concurrent runs")
)

// SearchEnd is how the search for another target ended.
type SearchEnd int

//go:generate stringer -type=SearchEnd -trimprefix=Search -output=search_end_string.go

// Outcomes of a search.
const (
	// SearchNotNeeded: the first target responded, or its answer ended.
	SearchNotNeeded SearchEnd = iota
	// SearchTookOver: another target took over.
	SearchTookOver
	// SearchNoLeave: there was no other target, or no retry was allowed.
	SearchNoLeave
	// SearchNoPlace: no other target could be assigned.
	SearchNoPlace
	// SearchFailed: the other target broke off or failed.
	SearchFailed
	// SearchTooSlow: the other target gave no first response within maxOverlap.
	SearchTooSlow
)

// search sends a request whose target is silent to another target as well, and lets that take over once it responds.
// If the search fails, the exchange with the first target goes on unaffected.
type search struct {
	delivery *delivery
	watch    *watch
	q        *request // a copy: the first target's answer may go on meanwhile
	began    request  // q as it was when the search began
	beganAt  clock.Millis
	silence  clock.Millis // of the first target when the search began
	ctx      context.Context
	cancel   context.CancelCauseFunc // with errNotNeeded once the search is not needed
	finished chan struct{}           // closed when run returns
	// firstGone says that the first target has failed, has ended, or can't be reached. maxOverlap then no longer applies
	// to the other target.
	firstGone atomic.Bool
	end       SearchEnd // used only by run and the methods that it calls in its goroutine

	// takeover is the answer of the target that has taken over, and relayed says that it is being relayed. Both are read
	// only after finished is closed.
	takeover *takeover
	relayed  bool
}

// takeover is the part of an answer that had to arrive for its target to take over.
type takeover struct {
	assignment schedule.Assignment
	answer     *forward.Answer
	events     *eventstream.Reader // of a stream; its next event has been read
	body       plainBody           // of any other answer
	sentAt     clock.Millis        // when the request was sent to the target
	start      quarantine.Start
	// ctx is the context of the exchange, and endExchange cancels it.
	ctx         context.Context
	endExchange context.CancelCauseFunc
}

// newSearch returns a search that has not begun. The caller holds the watch's lock.
func newSearch(w *watch) *search {
	s := &search{delivery: w.delivery, watch: w, q: w.copyRequest(), finished: make(chan struct{})}
	s.began = *s.q
	s.beganAt = w.delivery.Clock.Now()
	s.silence = s.beganAt - w.silentSince
	s.ctx, s.cancel = context.WithCancelCause(w.requestCtx)
	return s
}

// isDone reports whether run has returned.
func (s *search) isDone() bool {
	select {
	case <-s.finished:
		return true
	default:
		return false
	}
}

// run tries other targets until one takes over or none can. The search ends once a request has reached one of them, so
// that the first target does not run it beside several others in turn, unless the first target is gone.
func (s *search) run() {
	defer close(s.finished)
	for s.end = SearchNoLeave; s.mayTry(); {
		reached := s.tryOne()
		if s.takeover != nil || s.end == SearchNoPlace || s.ctx.Err() != nil || reached && !s.firstGone.Load() {
			break
		}
	}
	switch {
	case s.takeover != nil:
		s.end = SearchTookOver
	case errors.Is(context.Cause(s.ctx), errNotNeeded):
		s.end = SearchNotNeeded
	}
	s.report()
	if s.takeover == nil {
		s.watch.searchFailed(s)
	}
	s.cancel(nil)
}

// mayTry reports whether the request may be sent to one more target, and takes a retry from the budget for it. A
// suspected request runs at one target at a time.
func (s *search) mayTry() bool {
	d := s.delivery
	return s.q.sent < s.q.route.Attempts && !d.guard.HasRecord(s.q.accountName()) && d.takeRetry(s.q)
}

// tryOne tries one other target, and reports whether the request has reached it. An unused retry goes back to the
// budget.
func (s *search) tryOne() bool {
	d := s.delivery
	retryAt, service := d.Clock.Now(), s.q.service
	assignment, refusal := d.acquire(s.ctx, s.q)
	if refusal == nil && (!d.permitted(s.q, nil) || slices.Contains(s.q.tried, assignment.Target().Incarnation())) {
		// It has to wait for its exclusive run, or there is no target left that it was not sent to.
		assignment.Done(planner.Abandoned, planner.StreamStats{})
		refusal = notRun(CauseNoTurn, retryDelay)
	}
	if refusal != nil {
		s.end = SearchNoPlace
		d.retries.ReturnRetry(retryAt, service)
		return false
	}
	result := s.open(assignment)
	reached := result == nil || s.countAttempt(assignment.Target(), result)
	if !reached {
		d.retries.ReturnRetry(retryAt, service)
	}
	return reached
}

// countAttempt counts an attempt at a target that does not take over, and reports whether the request has reached it.
func (s *search) countAttempt(target *routing.Target, result attempt) bool {
	switch result := result.(type) {
	case declined:
		s.q.declines++
		if result.err != nil && s.ctx.Err() != nil {
			// This entry cancelled the connection attempt, so the target was not tried.
			s.q.tried = s.q.tried[:len(s.q.tried)-1]
		}
		return result.err == nil
	case withheld:
		s.q.recordWithheld(target.Incarnation())
		return false
	default:
		s.q.sent++
		return true
	}
}

// open sends the request to the target of an assignment, and lets the target take over once it responds. It returns nil
// then, and otherwise how the exchange ended.
func (s *search) open(assignment schedule.Assignment) attempt {
	d := s.delivery
	ctx, end := context.WithCancelCause(s.watch.requestCtx)
	// The end of the search ends the exchange too, until detach is called.
	detach := context.AfterFunc(s.ctx, func() { end(context.Cause(s.ctx)) })
	limit := time.AfterFunc(maxOverlap.Duration(), func() { s.overlapLimitReached(end) })
	defer limit.Stop()
	opened := make(chan struct{})
	defer close(opened)
	go s.followOwner(assignment, opened, end)
	go s.probeFirst(assignment.Target(), opened)
	t := &takeover{assignment: assignment, sentAt: d.Clock.Now(), start: d.startOf(s.q), ctx: ctx, endExchange: end}
	var result attempt
	if t.answer, result = d.send(ctx, s.q, assignment); t.answer != nil {
		result = s.read(t)
	}
	if result != nil {
		s.end = SearchFailed
		if errors.Is(context.Cause(ctx), errTooSlow) {
			s.end = SearchTooSlow
		}
		detach()
		end(nil)
		return result
	}
	if detach() && s.watch.replaceTarget(s, t) {
		return nil
	}
	t.drop(d.buffers)
	return lost{err: errNotNeeded}
}

// followOwner ends an attempt once the owner of the service reports that its target gives no response, if the first
// target is gone. While the first target may still respond, maxOverlap is the limit.
func (s *search) followOwner(assignment schedule.Assignment, opened <-chan struct{}, end context.CancelCauseFunc) {
	redispatched := assignment.Redispatched()
	if redispatched == nil {
		return
	}
	select {
	case <-redispatched:
		if s.firstGone.Load() {
			end(errRedispatched)
		}
	case <-opened:
	}
}

// read waits for the first response that lets another target take over. A failed answer doesn't count, as the first
// target may still give a good one.
func (s *search) read(t *takeover) attempt {
	a := t.answer
	var err error
	switch streams := s.q.streams(a); {
	case isEncoded(a):
		err = errEncoded
	case streams:
		t.events = eventstream.NewReaderWithin(a, a)
		err = s.peek(t)
	case a.Status >= http.StatusInternalServerError || s.q.route.Kind == routing.Stream:
		err = fmt.Errorf("target %s answered with status %d", t.assignment.Target().ID, a.Status)
	default:
		t.body, err = s.delivery.readBuffered(a)
	}
	if err == nil {
		return nil
	}
	s.q.addToTrail(s.delivery.Clock.Now(), "no first response from", t.assignment.Target().ID)
	s.delivery.recordEarlyEnd(s.q, t.assignment.Target(), a, err, 0)
	a.Close()
	t.assignment.Done(failureOutcome(t.ctx), planner.StreamStats{})
	return lost{err: err}
}

// overlapLimitReached ends the attempt at the other target after maxOverlap, or the first exchange if that target is
// gone.
func (s *search) overlapLimitReached(end context.CancelCauseFunc) {
	w := s.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.state != watchRunning || s.ctx.Err() != nil:
	case s.firstGone.Load():
		w.giveUp()
	default:
		end(errTooSlow)
	}
}

// reprobeAfter is how long the first target has to answer a probe before it is probed again, together with the other
// one.
const reprobeAfter = 60 * clock.Millisecond

// probeFirst checks whether the first target can still be reached. A target that refuses connections has ended. A
// target that doesn't answer counts as gone only if a second probe fails too, as a packet may have been lost, and if
// the other target answers a probe, as otherwise this entry itself may be disconnected.
func (s *search) probeFirst(other *routing.Target, opened <-chan struct{}) {
	first := s.probe(s.watch.target)
	select {
	case reach := <-first:
		s.recordReach(reach)
		return
	case <-time.After(reprobeAfter.Duration()):
	case <-opened:
		return
	}
	second, control := s.probe(s.watch.target), s.probe(other)
	for range cap(first) + cap(second) { // each channel gets one result
		var reach forward.Reachability
		select {
		case reach = <-first:
		case reach = <-second:
		}
		if reach != forward.Unreachable {
			s.recordReach(reach)
			return
		}
	}
	if <-control == forward.Reachable {
		s.firstGone.Store(true)
	}
}

// recordReach records the result of a probe of the first target, which is gone if it refused the connection.
func (s *search) recordReach(reach forward.Reachability) {
	if reach == forward.Refused {
		s.firstGone.Store(true)
	}
}

// probe tries to connect to a target. The channel gets one result, and is buffered, so that the result may go unread.
func (s *search) probe(t *routing.Target) <-chan forward.Reachability {
	answer := make(chan forward.Reachability, 1)
	go func() { answer <- s.delivery.pool.Probe(s.watch.requestCtx, t) }()
	return answer
}

// peek waits for the first event of a stream, and checks that it follows what the caller has.
func (s *search) peek(t *takeover) error {
	if err := t.events.Peek(); err != nil {
		return streamEnd(s.q, t.answer, t.events, err)
	}
	e := t.events.Peeked()
	return s.delivery.checkOrder(s.q, t.assignment.Target(), s.q.order.step(s.q.order.goingOn(), e), e)
}

// drop ends an answer that is not needed.
func (t *takeover) drop(account *buffers.Account) {
	account.ReleaseAnswer(t.body.held())
	t.answer.Close()
	t.endExchange(errNotNeeded)
	t.assignment.Done(planner.Abandoned, planner.StreamStats{})
}

// drop ends the answer of a target that has taken over, unless it is being relayed. It reports whether it ended one.
func (s *search) drop() bool {
	if s.takeover == nil || s.relayed {
		return false
	}
	s.takeover.drop(s.delivery.buffers)
	return true
}

// report logs and counts how the search ended.
func (s *search) report() {
	d := s.delivery
	d.Metrics.Links.Add("searches_"+s.end.String(), 1)
	if !d.sampler.Allow("search") {
		return
	}
	fields := logrus.Fields{
		telemetry.FieldRequest: s.q.ID, "target": string(s.watch.target.ID), "outcome": s.end.String(),
		"silence_ms": int64(s.silence), "took_ms": int64(d.Clock.Now() - s.beganAt),
	}
	if s.takeover != nil {
		fields["replaced_by"] = string(s.takeover.assignment.Target().ID)
	}
	d.Log.WithFields(fields).Info("another target was looked for, as one was silent")
}
