package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"quaydock/pkg/eventstream"
	"quaydock/pkg/forward"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
)

// relayBytes is how much of an answer's rest, beyond maxBuffered, is read at once.
const relayBytes = 4 << 10

var errEncoded = errors.New("answer has a Content-Encoding that was not requested")

// resumeAfter returns the id of the event after which a stream goes on: the last one relayed that has one, or else the one
// that the caller named. It is empty at the beginning of the stream.
func (r *request) resumeAfter() string {
	if r.order.numbered > 0 {
		return strconv.FormatInt(r.order.at.id, 10)
	}
	return r.LastEvent
}

// relay relays a target's answer to the caller, closes it, and calls Done on the assignment.
func (d *delivery) relay(w *watch, q *request, out *answerWriter, assignment schedule.Assignment, a *forward.Answer) attempt {
	defer a.Close()
	if isEncoded(a) {
		assignment.Done(planner.Failed, planner.StreamStats{})
		return lost{err: errEncoded, answered: true}
	}
	if q.streams(a) {
		return d.relayStream(w, q, out, assignment, a, eventstream.NewReaderWithin(a, a))
	}
	if a.Status >= http.StatusInternalServerError && d.movable(q) {
		a.LimitRest(failureTime)
	}
	body, err := d.readBuffered(a)
	if err != nil {
		q.addToTrail(d.Clock.Now(), "answer "+w.endText()+" at", assignment.Target().ID)
		d.recordEarlyEnd(q, assignment.Target(), a, err, 0)
		assignment.Done(failureOutcome(w.exchangeCtx), planner.StreamStats{})
		return lost{err: err}
	}
	return d.relayBuffered(w, q, out, assignment, a, body)
}

// isEncoded reports whether the body of an answer has a content encoding.
func isEncoded(a *forward.Answer) bool { return a.Header.Get("Content-Encoding") != "" }

// streams reports whether an answer to the request is a stream of events: on a route of streams, one with a status
// below 300.
func (r *request) streams(a *forward.Answer) bool {
	return r.route.Kind == routing.Stream && a.Status < http.StatusMultipleChoices
}

// relayBuffered relays an answer that is not a stream; body is what was read of it. A failure (a status of 500 or higher)
// is kept instead while another target may still do better. In the middle of a stream, where the caller can't get such an
// answer, it returns lost.
func (d *delivery) relayBuffered(w *watch, q *request, out *answerWriter, assignment schedule.Assignment, a *forward.Answer, body plainBody) attempt {
	q.heldAnswers += body.held()
	failed := a.Status >= http.StatusInternalServerError
	if failed && !out.started && w.isSearching() {
		q.addToTrail(d.Clock.Now(), "status "+strconv.Itoa(a.Status)+", while another target is tried, from", assignment.Target().ID)
		d.keepFailure(q, a, body)
		assignment.Done(planner.Failed, planner.StreamStats{})
		return lost{err: fmt.Errorf("target %s answered with status %d", assignment.Target().ID, a.Status), answered: true}
	}
	if !w.completeAnswer(q) {
		assignment.Done(planner.Failed, planner.StreamStats{})
		return lost{err: errRedispatched}
	}
	assignment.Began(load(a))
	q.recordArrival(d.Clock.Now())
	q.addToTrail(d.Clock.Now(), "status "+strconv.Itoa(a.Status)+" from", assignment.Target().ID)
	// If no retry is allowed, the caller gets this target's own answer.
	if failed && !out.started && d.movable(q) && d.takeRetry(q) {
		d.keepFailure(q, a, body)
		assignment.Done(planner.Failed, planner.StreamStats{})
		return lost{err: fmt.Errorf("target %s answered with status %d", assignment.Target().ID, a.Status), retryTaken: true, answered: true}
	}
	if out.started {
		assignment.Done(planner.Failed, planner.StreamStats{})
		return lost{err: fmt.Errorf("resuming a stream: target answered with status %d", a.Status), answered: true}
	}
	out.head(d.headerCodec, a, a.Length)
	outcome := planner.Served
	if failed {
		outcome = planner.Failed
	}
	if body.whole {
		// The caller may take its time: the target is free.
		assignment.Done(outcome, planner.StreamStats{})
		return d.writeWhole(q, out, a, body.data)
	}
	return d.relayRest(w, q, out, assignment, a, body.data, outcome)
}

// relayRest relays an answer of which a part has been read. The assignment ends with the given outcome once the target
// has completed the answer.
func (d *delivery) relayRest(w *watch, q *request, out *answerWriter, assignment schedule.Assignment, a *forward.Answer, part []byte, outcome planner.Outcome) attempt {
	ended := false
	end := func(o planner.Outcome) {
		if !ended {
			ended = true
			assignment.Done(o, planner.StreamStats{})
		}
	}
	complete := func() {
		out.targetDone()
		end(outcome)
	}
	if result := d.relayBody(q, out, assignment.Target(), a, part, complete); result != nil {
		if _, gone := result.(callerGone); gone {
			end(planner.Abandoned)
		} else {
			end(failureOutcome(w.exchangeCtx))
		}
		return result
	}
	q.sent++
	return completed{success: a.Status < http.StatusMultipleChoices}
}

// writeWhole writes the body of an answer that has been read to its end. What the caller does not take at once counts as
// its own from then on, and is waited for in finishAnswer.
func (d *delivery) writeWhole(q *request, out *answerWriter, a *forward.Answer, body []byte) attempt {
	q.sent++
	if len(body) > minChunk {
		out.readAhead(len(body) + maxChunk) // it is held whole already, so there has to be room for all of it
		out.targetDone()
	}
	if out.buffer != nil {
		d.buffers.ReleaseAnswer(q.heldAnswers)
		q.heldAnswers = 0
	}
	if err := out.body(body); err != nil {
		return callerGone{err}
	}
	return completed{success: a.Status < http.StatusMultipleChoices}
}

// load converts a target's report of its load to the planner's type; nil if the target gave none.
func load(a *forward.Answer) *planner.Load {
	if a.Load == nil {
		return nil
	}
	return &planner.Load{Running: a.Load.Running, Waiting: a.Load.Waiting, Slowdown: a.Load.Slowdown}
}

// relayBody relays a body of which a part has been read. It calls complete once the target has completed it, maybe twice,
// and returns nil if the caller has it, too.
func (d *delivery) relayBody(q *request, out *answerWriter, target *routing.Target, a *forward.Answer, part []byte, complete func()) attempt {
	out.readAhead(d.buffers.Limits().Exchange)
	from := bufio.NewReaderSize(a, relayBytes)
	end := targetEnd{peek: func() error { _, err := from.Peek(1); return err }, reached: complete}
	defer end.join()
	out.expectEnd(&end)
	defer out.expectEnd(nil)
	if err := out.body(part); err != nil {
		q.sent++
		return callerGone{err}
	}
	buffer := make([]byte, relayBytes)
	for {
		end.join()
		n, err := from.Read(buffer)
		if errors.Is(err, io.EOF) {
			complete()
		}
		if n > 0 {
			if err := out.body(buffer[:n]); err != nil {
				q.sent++
				return callerGone{err}
			}
			q.eventAt = d.Clock.Now()
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			d.recordEarlyEnd(q, target, a, err, 0)
			return lost{err: fmt.Errorf("reading the rest of an answer: %w", err), final: true}
		}
	}
}

// relayEvent relays one event. With flush it is sent to the caller at once; otherwise it may stay buffered until a later
// one is sent.
func (d *delivery) relayEvent(out *answerWriter, e eventstream.Event, flush bool) error {
	if err := out.body(e.Raw); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return out.flush()
}
