package ingress

import (
	"context"
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/forward"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
	"quaydock/pkg/streams"
	"quaydock/pkg/telemetry"
)

// fits reports whether the request may be sent to a target: if its stream has begun, only where it began.
func (r *request) fits(t *routing.Target) bool {
	return r.origin == nil || r.origin.Fits(t)
}

// beginsStream reports whether a stream begins with the request, at whichever target answers it first.
func (r *request) beginsStream() bool { return r.route.Kind == routing.Stream && r.origin == nil }

// version returns the only version whose targets the request may get, nil if it may get any.
func (r *request) version() *ids.Version {
	if r.origin == nil {
		return nil
	}
	return &r.origin.Version
}

// serving returns the targets that the request may be sent to as far as service and version go.
func (d *delivery) serving(q *request) []*routing.Target {
	all := d.admission.view.Directory().Serving(q.service)
	if q.origin == nil {
		return all
	}
	now := d.Clock.Now()
	return slices.DeleteFunc(slices.Clone(all), func(t *routing.Target) bool { return !d.mayContinue(now, q, t) })
}

// mayContinue reports whether a request whose stream has begun may be sent to a target: it runs the version that began
// the stream, by a row of the process that is there.
func (d *delivery) mayContinue(now clock.Millis, q *request, t *routing.Target) bool {
	return q.fits(t) && !d.ended.has(now, t.Incarnation())
}

// excluded returns the incarnations that must not get the request.
func (d *delivery) excluded(q *request) []ids.TargetIncarnation {
	if q.origin == nil {
		return q.tried
	}
	now := d.Clock.Now()
	list := slices.Clone(q.tried)
	for _, t := range d.admission.view.Directory().All() {
		if q.fits(t) && d.ended.has(now, t.Incarnation()) {
			list = append(list, t.Incarnation())
		}
	}
	return list
}

// noTargetRefusal refuses a request for which there is no target. Coming back is of no use if the targets of the version
// that began its stream are gone.
func (d *delivery) noTargetRefusal(q *request, retryAfter clock.Millis) *Refusal {
	mayServe := func(t *routing.Target) bool {
		return q.fits(t) && !t.Leaving && t.Admission != routing.Withheld
	}
	if q.origin != nil && !slices.ContainsFunc(d.admission.view.Directory().All(), mayServe) {
		return d.cannotGoOn(q, notRun(CauseVersionGone, 0))
	}
	return notRun(CauseNoTarget, retryAfter)
}

// continues reports whether a target's answer to the request continues a stream that has begun: the caller has events
// of it, from this entry or from an earlier try.
func (r *request) continues() bool { return r.order.begun() || r.LastEvent != "" }

// settleOrigin records, before the first event from a target is relayed, where the stream began, or that it goes on
// there.
func (d *delivery) settleOrigin(q *request, target *routing.Target, a *forward.Answer) {
	if q.continues() {
		d.recordContinuation(q, target)
	}
	q.origin = d.originAt(q, target, a)
	if key, ok := q.streamKey(); ok && q.route.Resumable && q.origin.Known() {
		d.origins.Record(q.route.Name, key, *q.origin)
	}
}

// streamKey returns the key of the request's stream; false if the caller takes one up again without naming it.
func (r *request) streamKey() (key streams.Key, ok bool) {
	switch {
	case r.LastEvent == "":
		return streams.NewKey(r.accountName(), r.ID), true
	case r.Resumes != "":
		return streams.NewKey(r.accountName(), r.Resumes), true
	default:
		return streams.Key{}, false
	}
}

// findOrigin finds out where a stream began that its caller takes up again, and has a new one wait until it may begin. It
// refuses the request if nobody knows, or if its route leads there no more: then the caller has to begin anew.
func (d *delivery) findOrigin(ctx context.Context, q *request) *Refusal {
	if q.route.Kind != routing.Stream {
		return nil
	}
	if q.LastEvent == "" {
		return d.awaitBegin(ctx, q)
	}
	if q.route.Resumable {
		q.order = newEventOrder(q.LastEvent)
	}
	key, hasKey := q.streamKey()
	found := d.origins.Find(ctx, streams.Stream{Key: key, HasKey: hasKey, Route: q.route.Name, Service: q.service})
	d.Metrics.Prometheus.Add("streams_taken_up", "known_by", found.Source.String())
	q.knownBy = found
	if found.Origin == nil {
		q.addToTrail(d.Clock.Now(), fmt.Sprintf("not known where the stream began, by %d of %d entries asked", found.Answered, found.Asked), "")
		return d.cannotGoOn(q, notRun(CauseOriginUnknown, retryAfterUnknown(found)))
	}
	q.origin = found.Origin
	if !q.route.LeadsTo(found.Origin.Service) {
		q.addToTrail(d.Clock.Now(), "the stream began at another service than the route leads to: "+string(found.Origin.Service), "")
		return d.cannotGoOn(q, notRun(CauseVersionGone, 0))
	}
	q.service = found.Origin.Service
	return nil
}

// unconfirmedRetryAfter is when a caller may come back whose stream began at the only version as far as this entry knows:
// by then entries that do not answer are taken for gone.
const unconfirmedRetryAfter = 500 * clock.Millisecond

// retryAfterUnknown returns when to come back with a stream of which nobody knows where it began; 0 if that is of no use.
func retryAfterUnknown(found streams.Finding) clock.Millis {
	if found.Unconfirmed {
		return unconfirmedRetryAfter
	}
	return 0
}

// awaitBegin waits until a new stream may begin on its route.
func (d *delivery) awaitBegin(ctx context.Context, q *request) *Refusal {
	if d.origins.AwaitBegin(ctx, q.route.Name, q.service) {
		return nil
	}
	q.addToTrail(d.Clock.Now(), "the record of another service still has the streams of the route", "")
	return notRun(CauseRouteMoved, retryDelay)
}

// cannotGoOn logs that a stream can't go on that its caller takes up again, and returns the refusal.
func (d *delivery) cannotGoOn(q *request, refusal *Refusal) *Refusal {
	if !d.sampler.Allow("stream can't go on") {
		return refusal
	}
	fields := logrus.Fields{
		telemetry.FieldRequest: q.ID, "resumes": q.Resumes, "after_event": q.resumeAfter(), "service": string(q.service),
		"cause": refusal.Cause.String(), "known_by": q.knownBy.Source.String(), "trail": q.formatTrail(),
		"record": q.knownBy.Record.String(), "record_age_ms": int64(q.knownBy.RecordAge),
	}
	if q.origin != nil {
		fields["began_version"] = string(q.origin.Version)
		fields["began_service"] = string(q.origin.Service)
	}
	d.Log.WithFields(fields).Info("a stream can't go on")
	return refusal
}

// forgetStream drops the origin of a stream that its caller has in full.
func (d *delivery) forgetStream(q *request) {
	if key, ok := q.streamKey(); ok && q.route.Resumable && q.origin != nil {
		d.origins.Forget(key)
	}
}

// originAt returns where a request's stream began, given that a target has sent an event of it in an answer.
func (d *delivery) originAt(q *request, target *routing.Target, a *forward.Answer) *streams.Origin {
	if q.origin != nil {
		return q.origin
	}
	if d.ended.has(d.Clock.Now(), target.Incarnation()) {
		return &streams.Origin{} // another process has answered than the listed one
	}
	const second = ids.Start(clock.Second)
	return &streams.Origin{
		Service: target.Service, Version: target.Version, Incarnation: target.Incarnation(), ConnectedAt: a.ConnectedAt / second * second,
	}
}

// goesOnAfter says after what the stream goes on at a target: a break of this answer, or its caller's coming back.
func (r *request) goesOnAfter() string {
	if r.order.begun() {
		return "break"
	}
	return "caller"
}

// recordContinuation logs and counts a stream that goes on at a target.
func (d *delivery) recordContinuation(q *request, target *routing.Target) {
	after, version := q.goesOnAfter(), "unknown"
	if q.origin != nil {
		version = "same"
		if q.origin.Version != target.Version {
			version = "another"
		}
	}
	d.Metrics.Prometheus.Add("streams_gone_on", "after", after)
	d.Metrics.Prometheus.Add("streams_gone_on_version", "version", version)
	if !d.sampler.Allow("stream goes on") {
		d.unlogged.add(newContinuation(q, target, after))
		return
	}
	fields := logrus.Fields{
		telemetry.FieldRequest: q.ID, "after": after, "after_event": q.resumeAfter(), "resumes": q.Resumes,
		"target": string(target.ID), "start": int64(target.Start), "version": string(target.Version), "service": string(target.Service),
	}
	if q.origin != nil {
		fields["began_at"] = string(q.origin.Incarnation.Target)
		fields["known_by"] = q.knownBy.Source.String()
		fields["record"] = q.knownBy.Record.String()
		fields["record_age_ms"] = int64(q.knownBy.RecordAge)
		fields["began_version"] = string(q.origin.Version)
	}
	d.Log.WithFields(fields).Info("a stream goes on")
}
