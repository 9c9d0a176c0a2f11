package ingress

import (
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/eventstream"
	"quaydock/pkg/routing"
	"quaydock/pkg/telemetry"
)

// errOutOfOrder means that a target's events are out of order.
var errOutOfOrder = errors.New("events out of order")

// errEndsBefore means that a target ended a stream before what its caller has of it.
var errEndsBefore = fmt.Errorf("%w: stream ended before what the caller has", errOutOfOrder)

// repeats counts the events of one target that its caller had already.
type repeats struct {
	events    int
	first     eventstream.Event // without its bytes
	behind    string            // the id after which the target was to go on
	goesAfter string            // what it went on after
}

// recordRepeat counts an event that the caller has.
func (r *streamRelay) recordRepeat(e eventstream.Event) {
	if r.repeats.events == 0 {
		r.repeats = repeats{first: eventstream.Event{ID: e.ID, HasID: e.HasID}, behind: r.q.resumeAfter(), goesAfter: r.q.goesOnAfter()}
	}
	r.repeats.events++
}

// reportRepeats counts and logs, once for a target, the events that its caller had.
func (r *streamRelay) reportRepeats() {
	if r.repeats.events == 0 {
		return
	}
	r.Metrics.Links.Add("stream_events_repeated", int64(r.repeats.events))
	r.Metrics.Prometheus.Add("streams_with_repeats", "after", r.repeats.goesAfter)
	if !r.sampler.Allow("stream repeats events") {
		return
	}
	fields := logrus.Fields{
		telemetry.FieldRequest: r.q.ID, "resumes": r.q.Resumes, "target": string(r.assignment.Target().ID),
		"events": r.repeats.events, "after_event": r.repeats.behind,
	}
	if r.repeats.first.HasID {
		fields["first_event"] = r.repeats.first.ID
	}
	r.Log.WithFields(fields).Info("a target repeated events that its caller had")
}

// checkOrder returns an error for an event of a target that is out of order, which it counts and logs.
func (d *delivery) checkOrder(q *request, target *routing.Target, step EventStep, e eventstream.Event) error {
	if step == EventNew || step == EventRepeated {
		return nil
	}
	d.reportOutOfOrder(q, target, step.String(), e.ID)
	return fmt.Errorf("%w: %s, event %d after %d", errOutOfOrder, step, e.ID, q.order.at.id)
}

// reportOutOfOrder counts and logs a stream that is out of order; event is the id at which it is.
func (d *delivery) reportOutOfOrder(q *request, target *routing.Target, step string, event int64) {
	d.Metrics.Prometheus.Add("streams_out_of_order", "event", step)
	if !d.sampler.Allow("stream out of order") {
		return
	}
	d.Log.WithFields(logrus.Fields{
		telemetry.FieldRequest: q.ID, "resumes": q.Resumes, "target": string(target.ID),
		"last_event": q.order.at.id, "event": event, "step": step,
	}).Warn("a target's events are out of order")
}
