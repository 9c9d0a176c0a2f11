package ingress

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"quaydock/pkg/forward"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
)

// wholeLimit is up to which size an answer is read whole before any of it goes
// to the caller, so that a broken one may be tried again.
const wholeLimit = 1 << 20

var errEncoded = errors.New("the answer is encoded, which was not asked for")

// resumeAt is the event behind which a stream goes on, if any.
func (r *request) resumeAt() string {
	if r.hasEvent {
		return strconv.FormatInt(r.lastEvent, 10)
	}
	return r.LastEvent
}

// relay hands a target's answer to the caller.
func (d *delivery) relay(w *watch, q *request, out *answerWriter, place schedule.Assignment, a *forward.Answer) attempt {
	defer a.Close()
	if isEncoded(a) {
		place.Done(planner.Failed, planner.StreamStats{})
		return lost{err: errEncoded, answered: true}
	}
	if q.streams(a) {
		return d.relayStream(w, q, out, place, a, newEventReader(a))
	}
	body, err := readWhole(a)
	if err != nil {
		q.note(d.Clock.Now(), "answer "+w.ending()+" at", place.Target().ID)
		place.Done(failure(w.exchangeCtx), planner.StreamStats{})
		return lost{err: err}
	}
	return d.passWhole(w, q, out, place, a, body)
}

// isEncoded reports whether an answer is not the target's body as it made it.
func isEncoded(a *forward.Answer) bool { return a.Header.Get("Content-Encoding") != "" }

// streams reports whether an answer to the request is a stream of events.
func (r *request) streams(a *forward.Answer) bool {
	return r.route.Kind == routing.Stream && a.Status < http.StatusMultipleChoices
}

// readWhole reads an answer that is not a stream, up to wholeLimit.
func readWhole(a *forward.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, wholeLimit))
	if err != nil {
		return nil, fmt.Errorf("reading the answer: %w", err)
	}
	return body, nil
}

// passWhole hands over an answer that is not a stream, of which the body was read up to wholeLimit.
func (d *delivery) passWhole(w *watch, q *request, out *answerWriter, place schedule.Assignment, a *forward.Answer, body []byte) attempt {
	failed := a.Status >= http.StatusInternalServerError
	if failed && !out.started && w.searches() {
		q.note(d.Clock.Now(), "status "+strconv.Itoa(a.Status)+", while another target is asked, from", place.Target().ID)
		q.hold(a, body)
		place.Done(planner.Failed, planner.StreamStats{})
		return lost{err: fmt.Errorf("target %s answered with status %d", place.Target().ID, a.Status), answered: true}
	}
	if !w.answered(q) {
		place.Done(planner.Failed, planner.StreamStats{})
		return lost{err: errMoved}
	}
	place.Began(load(a))
	q.came(d.Clock.Now())
	q.note(d.Clock.Now(), "status "+strconv.Itoa(a.Status)+" from", place.Target().ID)
	// Without leave to try elsewhere, the caller gets this target's own answer.
	if failed && !out.started && d.movable(q) && d.again(q) {
		q.hold(a, body)
		place.Done(planner.Failed, planner.StreamStats{})
		return lost{err: fmt.Errorf("target %s answered with status %d", place.Target().ID, a.Status), again: true, answered: true}
	}
	if out.started {
		place.Done(planner.Failed, planner.StreamStats{})
		return lost{err: fmt.Errorf("status %d in the middle of a stream", a.Status), answered: true}
	}
	out.head(d.dialect, a, a.Length)
	if result := d.relayBody(q, out, a, body); result != nil {
		place.Done(failure(w.exchangeCtx), planner.StreamStats{})
		return result
	}
	q.sent++
	if failed {
		place.Done(planner.Failed, planner.StreamStats{})
	} else {
		place.Done(planner.Served, planner.StreamStats{})
	}
	return completed{}
}

// load is a target's report of its load, in the planner's type.
func load(a *forward.Answer) *planner.Load {
	if a.Load == nil {
		return nil
	}
	return &planner.Load{Running: a.Load.Running, Waiting: a.Load.Waiting}
}

// relayBody hands over a body of which a part has been read. It returns nil if it is whole.
func (d *delivery) relayBody(q *request, out *answerWriter, a *forward.Answer, part []byte) attempt {
	if err := out.body(part); err != nil {
		q.sent++
		return callerGone{err}
	}
	buffer := make([]byte, eventBuffer)
	for {
		n, err := a.Read(buffer)
		if n > 0 {
			q.eventAt = d.Clock.Now()
			if err := out.body(buffer[:n]); err != nil {
				q.sent++
				return callerGone{err}
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return lost{err: fmt.Errorf("reading the rest of an answer: %w", err), final: true}
		}
	}
}

// relayStream hands over a stream event by event. Only whole events go out, so
// that a resumable stream can go on elsewhere behind the last one.
func (d *delivery) relayStream(w *watch, q *request, out *answerWriter, place schedule.Assignment, a *forward.Answer, events *eventReader) attempt {
	var flow planner.StreamStats
	last := q.placedAt
	for ; ; flow.Events++ {
		e, err := events.next()
		whole := errors.Is(err, io.EOF)
		if err != nil && !whole {
			now := d.Clock.Now()
			q.note(now, fmt.Sprintf("stream %s after %d events, %d ms behind the last, at", w.ending(), flow.Events, now-last), place.Target().ID)
			place.Done(failure(w.exchangeCtx), flow)
			return lost{err: err}
		}
		if !w.sign(e) {
			place.Done(planner.Failed, flow)
			return lost{err: errMoved}
		}
		now := d.Clock.Now()
		q.came(now)
		if flow.Events > 0 {
			flow.Longest = max(flow.Longest, now-last)
		}
		last = now
		if flow.Events == 0 {
			q.note(d.Clock.Now(), "first event from", place.Target().ID)
			place.Began(load(a))
			if !out.started {
				out.head(d.dialect, a, -1)
			}
		}
		if err := d.passEvent(q, out, e, whole || !events.buffered()); err != nil {
			place.Done(planner.Abandoned, flow)
			q.sent++
			return callerGone{err}
		}
		if whole {
			place.Done(planner.Served, flow)
			q.sent++
			return completed{}
		}
		w.listen()
	}
}

// passEvent hands over one event, unless the caller has it already.
func (d *delivery) passEvent(q *request, out *answerWriter, e event, flush bool) error {
	if e.has && q.hasEvent && e.id <= q.lastEvent {
		return nil
	}
	if e.has {
		q.lastEvent = e.id
		q.hasEvent = true
	}
	if err := out.body(e.raw); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return out.flush()
}
