package ingress

import (
	"errors"
	"fmt"
	"io"

	"quaydock/pkg/clock"
	"quaydock/pkg/eventstream"
	"quaydock/pkg/forward"
	"quaydock/pkg/planner"
	"quaydock/pkg/schedule"
)

// streamRelay relays a stream from one target.
type streamRelay struct {
	*delivery
	watch      *watch
	q          *request
	out        *answerWriter
	assignment schedule.Assignment
	answer     *forward.Answer
	events     *eventstream.Reader
	end        targetEnd
	flow       planner.StreamStats
	order      exchangeOrder
	repeats    repeats
	last       clock.Millis // when the last event was passed on
	done       bool         // the target has completed the stream, and its assignment has ended
}

// newStreamRelay returns a relay whose stream is about to begin, or to go on.
func newStreamRelay(d *delivery, w *watch, q *request, out *answerWriter, assignment schedule.Assignment, a *forward.Answer, events *eventstream.Reader) *streamRelay {
	r := &streamRelay{delivery: d, watch: w, q: q, out: out, assignment: assignment, answer: a, events: events, last: q.placedAt, order: q.order.goingOn()}
	r.end = targetEnd{peek: events.Peek, reached: r.endReached}
	return r
}

// relayStream relays a stream event by event. Only complete events are written, so that a resumable stream can go on at
// another target after the last one, and so that what the caller has of a stream that ends inside an event ends before
// that event.
func (d *delivery) relayStream(w *watch, q *request, out *answerWriter, assignment schedule.Assignment, a *forward.Answer, events *eventstream.Reader) attempt {
	r := newStreamRelay(d, w, q, out, assignment, a, events)
	defer r.end.join()
	defer r.reportRepeats()
	for {
		if result := r.relayNext(); result != nil {
			return result
		}
	}
}

// relayNext relays one event, and returns nil if the stream goes on.
func (r *streamRelay) relayNext() attempt {
	r.end.join()
	e, err := r.events.Next()
	ended := err != nil
	if ended {
		err = r.checkEnd(err)
	}
	if err != nil {
		return r.breakOff(e, err)
	}
	order, exchange, step := r.q.order.follow(r.order, e)
	if err := r.checkOrder(r.q, r.assignment.Target(), step, e); err != nil {
		return r.breakOff(e, err)
	}
	if !r.done && !r.watch.recordEvent(order, r.answer) {
		r.assignment.Done(planner.Failed, r.flow)
		return lost{err: errRedispatched}
	}
	now := r.Clock.Now()
	r.recordArrival(now)
	if ended {
		r.complete()
	} else {
		r.flow.Events++
	}
	r.q.order, r.order = order, exchange
	if step == EventRepeated {
		r.recordRepeat(e)
		e.Raw = nil // what the caller has is left out
	}
	if err := r.write(e, ended || !r.events.Buffered()); err != nil {
		if !r.done {
			r.assignment.Done(planner.Abandoned, r.flow)
		}
		r.q.sent++
		return callerGone{err}
	}
	if ended {
		r.q.sent++
		return completed{success: true}
	}
	r.recordProgress(r.q, e, now)
	// The time that the caller took to make room is not the target's.
	r.last = r.Clock.Now()
	r.q.eventAt = r.last
	r.watch.restartTimer()
	return nil
}

// checkEnd returns nil if the stream is whole that ended with an error of its reader, and otherwise why it is not.
func (r *streamRelay) checkEnd(err error) error {
	if err := streamEnd(r.q, r.answer, r.events, err); err != nil {
		return err
	}
	if r.q.order.endsBefore(r.order) {
		return errEndsBefore
	}
	return nil
}

// breakOff returns the result of a stream that ended with an error, and e as the rest of it.
func (r *streamRelay) breakOff(e eventstream.Event, err error) attempt {
	now := r.Clock.Now()
	if errors.Is(err, errEndsBefore) {
		r.reportOutOfOrder(r.q, r.assignment.Target(), "EndsBefore", r.order.at.id)
	}
	r.q.addToTrail(now, fmt.Sprintf("stream %s after %d events, %d ms after the last, at", r.watch.endText(), r.flow.Events, now-r.last), r.assignment.Target().ID)
	r.recordEarlyEnd(r.q, r.assignment.Target(), r.answer, err, len(e.Raw))
	r.assignment.Done(failureOutcome(r.watch.exchangeCtx), r.flow)
	return lost{err: err, answered: errors.Is(err, errOutOfOrder)}
}

// recordArrival records an event, and begins the answer with the first one of this target.
func (r *streamRelay) recordArrival(now clock.Millis) {
	r.q.recordArrival(now)
	if r.flow.Events > 0 {
		r.flow.LongestGap = max(r.flow.LongestGap, now-r.last)
		return
	}
	r.begin()
}

// begin records the first event of the target, and begins the answer if no target did before.
func (r *streamRelay) begin() {
	r.settleOrigin(r.q, r.assignment.Target(), r.answer)
	r.q.addToTrail(r.Clock.Now(), "first event from", r.assignment.Target().ID)
	r.assignment.Began(load(r.answer))
	if !r.out.started {
		r.out.head(r.headerCodec, r.answer, -1)
		r.out.readAhead(r.buffers.Limits().Exchange)
	}
}

// write writes one event. While the caller has to make room for it, it may turn out to be the last one.
func (r *streamRelay) write(e eventstream.Event, flush bool) error {
	r.out.expectEnd(&r.end)
	defer r.out.expectEnd(nil)
	return r.relayEvent(r.out, e, flush)
}

// endReached ends the assignment, as nothing follows the event that waits for room, unless the stream is not whole or
// another target has taken over.
func (r *streamRelay) endReached() {
	if r.checkEnd(io.EOF) == nil && r.watch.completeAnswer(r.q) {
		r.complete()
	}
}

// complete ends the assignment of a stream that its target has completed. Only the caller is waited for from now on.
func (r *streamRelay) complete() {
	r.out.targetDone()
	if r.done {
		return
	}
	r.done = true
	r.assignment.Done(planner.Served, r.flow)
}
