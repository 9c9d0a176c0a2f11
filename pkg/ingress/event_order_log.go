package ingress

import (
	"github.com/sirupsen/logrus"

	"quaydock/pkg/eventstream"
	"quaydock/pkg/telemetry"
)

// repeats counts the events of one target that its caller had already.
type repeats struct {
	events    int
	first     eventstream.Event // without its bytes
	behind    string            // the id after which the target was to go on
	goesAfter string            // what it went on after
}

// recordStep counts what the next event is to the caller, and logs it if it is out of order.
func (r *streamRelay) recordStep(step EventStep, e eventstream.Event) {
	switch step {
	case EventNew:
	case EventRepeated:
		r.recordRepeat(e)
	case EventBack, EventSkips:
		if !r.disorder {
			r.disorder = true
			r.reportOutOfOrder(step, e)
		}
	}
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

// reportOutOfOrder counts and logs an event that is out of order.
func (r *streamRelay) reportOutOfOrder(step EventStep, e eventstream.Event) {
	r.Metrics.Prometheus.Add("streams_out_of_order", "event", step.String())
	if !r.sampler.Allow("stream out of order") {
		return
	}
	r.Log.WithFields(logrus.Fields{
		telemetry.FieldRequest: r.q.ID, "resumes": r.q.Resumes, "target": string(r.assignment.Target().ID),
		"last_event": r.q.order.at.id, "event": e.ID, "step": step.String(),
	}).Warn("a target's events are out of order")
}
