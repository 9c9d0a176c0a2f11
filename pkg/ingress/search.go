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

	"quaydock/pkg/clock"
	"quaydock/pkg/forward"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
	"quaydock/pkg/telemetry"
)

// bothWork is for how long two targets may have one request: a stream must not go on at one while another
// has worked on it for 0.4 s longer, and the word that ends the work takes its way.
const bothWork = 350 * clock.Millisecond

var (
	errNotNeeded = errors.New("the first target goes on")
	errTooSlow   = errors.New("no sign of life while two targets may work")
)

// SearchEnd is how the search for another target ended.
type SearchEnd int

//go:generate stringer -type=SearchEnd -trimprefix=Search -output=search_end_string.go

// The ends.
const (
	// SearchNotNeeded: the first target gave a sign of life, or its answer ended.
	SearchNotNeeded SearchEnd = iota
	// SearchTookOver: another target has taken over.
	SearchTookOver
	// SearchNoLeave: no other target, or no leave to repeat.
	SearchNoLeave
	// SearchNoPlace: no place on another one.
	SearchNoPlace
	// SearchFailed: the other one broke off or failed.
	SearchFailed
	// SearchTooSlow: the other one gave no sign of life while both may work.
	SearchTooSlow
)

// search looks for another target for a request whose target is silent, and has it answer. Whatever fails on the
// way, the first target goes on as if nothing had been.
type search struct {
	delivery *delivery
	watch    *watch
	q        *request // a copy: the first target's answer may go on meanwhile
	began    request  // as q was at the beginning
	beganAt  clock.Millis
	silence  clock.Millis // of the first target, by then
	ctx      context.Context
	cancel   context.CancelCauseFunc
	done     chan struct{}
	// firstGone says that the first target has failed, has ended, or can't be reached: the other one may take its time.
	firstGone atomic.Bool
	end       SearchEnd

	// takeover is the other target's answer once it has taken over, and relayed that it is being relayed. They are read
	// once done is closed.
	takeover *takeover
	relayed  bool
}

// takeover is an answer as far as it had to come for its target to take over.
type takeover struct {
	place  schedule.Assignment
	answer *forward.Answer
	events *eventReader // of a stream; the next event is at hand
	body   []byte       // of another answer, up to wholeLimit
	sentAt clock.Millis
	// ctx is that of the exchange, and end ends it.
	ctx context.Context
	end context.CancelCauseFunc
}

// newSearch returns a search that has not begun; the watch's lock is held.
func newSearch(w *watch) *search {
	s := &search{delivery: w.delivery, watch: w, q: w.copied(), done: make(chan struct{})}
	s.began = *s.q
	s.beganAt = w.delivery.Clock.Now()
	s.silence = s.beganAt - w.signAt
	s.ctx, s.cancel = context.WithCancelCause(w.requestCtx)
	return s
}

func (s *search) isDone() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// run looks for another target until one has taken over, or none can. Once a request has reached one, the search ends, so
// that the first target does not have it beside several others in a row; unless that is gone.
func (s *search) run() {
	defer close(s.done)
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
	s.tell()
	if s.takeover == nil {
		s.watch.failed(s)
	}
	s.cancel(nil)
}

// mayTry takes the leave to send the request to one more target. A request that is suspected of ending its targets
// has one at a time.
func (s *search) mayTry() bool {
	d := s.delivery
	return s.q.sent < s.q.route.Attempts && !d.guard.HasRecord(s.q.accountName()) && d.again(s.q)
}

// tryOne tries one other target, and reports whether the request has reached it. Leave that was not used is given back.
func (s *search) tryOne() bool {
	d := s.delivery
	leaveAt, service := d.Clock.Now(), s.q.service
	place, refusal := d.acquire(s.ctx, s.q)
	if refusal == nil && (!d.permitted(s.q, nil) || slices.Contains(s.q.tried, place.Target().Incarnation())) {
		// Its turn has yet to come, or there is no target any more but those that it was sent to.
		place.Done(planner.Abandoned, planner.StreamStats{})
		refusal = notRun(CauseNoTurn, comeBack)
	}
	if refusal != nil {
		s.end = SearchNoPlace
		d.retries.ReturnRetry(leaveAt, service)
		return false
	}
	result := s.open(place)
	reached := result == nil || s.countAttempt(place.Target(), result)
	if !reached {
		d.retries.ReturnRetry(leaveAt, service)
	}
	return reached
}

// countAttempt counts an attempt at a target, and reports whether the request has reached it.
func (s *search) countAttempt(target *routing.Target, result attempt) bool {
	switch result := result.(type) {
	case declined:
		s.q.declines++
		if result.err != nil && s.ctx.Err() != nil {
			// This end gave the connection up while it was made: the target was not tried.
			s.q.tried = s.q.tried[:len(s.q.tried)-1]
		}
		return result.err == nil
	case withheld:
		s.q.passOver(target.Incarnation())
		return false
	default:
		s.q.sent++
		return true
	}
}

// open sends the request to the target of a place, and has it take over with its answer. It returns how the exchange
// ended if it does not.
func (s *search) open(place schedule.Assignment) attempt {
	d := s.delivery
	ctx, end := context.WithCancelCause(s.watch.requestCtx)
	detach := context.AfterFunc(s.ctx, func() { end(context.Cause(s.ctx)) })
	limit := time.AfterFunc(bothWork.Duration(), func() { s.boundReached(end) })
	defer limit.Stop()
	opened := make(chan struct{})
	defer close(opened)
	go s.heedHome(place, opened, end)
	go s.askFirst(place.Target(), opened)
	t := &takeover{place: place, sentAt: d.Clock.Now(), ctx: ctx, end: end}
	var result attempt
	if t.answer, result = d.send(ctx, s.q, place); t.answer != nil {
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
	if detach() && s.watch.win(s, t) {
		return nil
	}
	t.drop()
	return lost{err: errNotNeeded}
}

// heedHome ends an attempt once the home of the service tells that its target gives no sign of life, and the
// first one is gone. While that may go on, the time for both is the bound.
func (s *search) heedHome(place schedule.Assignment, opened <-chan struct{}, end context.CancelCauseFunc) {
	moved := place.Moved()
	if moved == nil {
		return
	}
	select {
	case <-moved:
		if s.firstGone.Load() {
			end(errMoved)
		}
	case <-opened:
	}
}

// read waits for the sign of life that another target has to give to take over. What it fails is no answer for
// a caller whose first target goes on.
func (s *search) read(t *takeover) attempt {
	a := t.answer
	var err error
	switch streams := s.q.streams(a); {
	case isEncoded(a):
		err = errEncoded
	case streams:
		t.events = newEventReader(a)
		err = t.events.await()
	case a.Status >= http.StatusInternalServerError || s.q.route.Kind == routing.Stream:
		err = fmt.Errorf("target %s answered with status %d", t.place.Target().ID, a.Status)
	default:
		t.body, err = readWhole(a)
	}
	if err == nil {
		return nil
	}
	s.q.note(s.delivery.Clock.Now(), "no sign of life from", t.place.Target().ID)
	a.Close()
	t.place.Done(failure(t.ctx), planner.StreamStats{})
	return lost{err: err}
}

// boundReached ends an attempt as both targets have had their time, or else the first target if that is gone.
func (s *search) boundReached(end context.CancelCauseFunc) {
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

// askAgain is after what time the first target is asked a second time, beside the other one.
const askAgain = 60 * clock.Millisecond

// askFirst finds out whether the first target can still be reached. One that refuses connections has ended. One that does not
// answer is gone if it does not do so when asked again, as a packet may be lost, while the other one
// answers, as it may be this end that reaches nobody.
func (s *search) askFirst(other *routing.Target, opened <-chan struct{}) {
	first := s.ask(s.watch.target)
	select {
	case reach := <-first:
		s.noteReach(reach)
		return
	case <-time.After(askAgain.Duration()):
	case <-opened:
		return
	}
	again, control := s.ask(s.watch.target), s.ask(other)
	for range cap(first) + cap(again) {
		var reach forward.Reachability
		select {
		case reach = <-first:
		case reach = <-again:
		}
		if reach != forward.Unreachable {
			s.noteReach(reach)
			return
		}
	}
	if <-control == forward.Reachable {
		s.firstGone.Store(true)
	}
}

// noteReach notes what a target that answered a question for a connection has shown.
func (s *search) noteReach(reach forward.Reachability) {
	if reach == forward.Refused {
		s.firstGone.Store(true)
	}
}

// ask asks a target for a connection.
func (s *search) ask(t *routing.Target) <-chan forward.Reachability {
	answer := make(chan forward.Reachability, 1)
	go func() { answer <- s.delivery.pool.Probe(s.watch.requestCtx, t) }()
	return answer
}

// drop ends an answer that nobody is to get.
func (t *takeover) drop() {
	t.answer.Close()
	t.end(errNotNeeded)
	t.place.Done(planner.Abandoned, planner.StreamStats{})
}

// drop ends the answer of a target that has taken over, if it is not being relayed, and reports whether it has.
func (s *search) drop() bool {
	if s.takeover == nil || s.relayed {
		return false
	}
	s.takeover.drop()
	return true
}

// tell logs and counts how the search ended.
func (s *search) tell() {
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
		fields["replaced_by"] = string(s.takeover.place.Target().ID)
	}
	d.Log.WithFields(fields).Info("another target was looked for, as one was silent")
}
