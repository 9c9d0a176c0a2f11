package ingress

import (
	"errors"
	"io"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/eventstream"
	"quaydock/pkg/forward"
	"quaydock/pkg/network"
	"quaydock/pkg/routing"
	"quaydock/pkg/telemetry"
)

// errNoEvent means that a stream ended with its connection before its first event.
var errNoEvent = errors.New("stream was closed before its first event")

// streamEnd returns nil if a stream is whole that ended with an error of its reader, and otherwise why it is not. A whole
// stream ends between two events; if nothing but the end of its connection marks its end, it must have begun with an
// event, unless it is the rest of one that may be empty.
func streamEnd(q *request, a *forward.Answer, events *eventstream.Reader, err error) error {
	switch {
	case !errors.Is(err, io.EOF):
		return err
	case a.Framing == network.FramedByClose && !events.HasFields() && q.resumeAfter() == "":
		return errNoEvent
	default:
		return nil
	}
}

// recordEarlyEnd logs and counts an answer that its target ended early, although its connection was closed in good
// order, or whose event was too long; leftBytes are those of an event that was not terminated. It does nothing for other
// errors of an answer.
func (d *delivery) recordEarlyEnd(q *request, target *routing.Target, a *forward.Answer, err error, leftBytes int) {
	if errors.Is(err, eventstream.ErrTooLong) {
		a.GiveUp(forward.LimitEvent, leftBytes)
		return
	}
	if !errors.Is(err, eventstream.ErrInsideEvent) && !errors.Is(err, errNoEvent) && !errors.Is(err, forward.ErrClosedEarly) {
		return
	}
	d.Metrics.Prometheus.Add("answers_ended_early", "framing", a.Framing.String())
	if !d.sampler.Allow("ended early") {
		return
	}
	d.Log.WithError(err).WithFields(logrus.Fields{
		telemetry.FieldRequest: q.ID, "target": string(target.ID), "framing": a.Framing.String(), "left_bytes": leftBytes,
	}).Info("an answer ended early")
}
