package ingress

import (
	"github.com/sirupsen/logrus"

	"quaydock/pkg/forward"
	"quaydock/pkg/routing"
	"quaydock/pkg/telemetry"
)

// logUnterminated logs and counts a stream that ended with an event that was not terminated, after the given number of
// terminated ones.
func (d *delivery) logUnterminated(q *request, target *routing.Target, a *forward.Answer, e event, events int) {
	d.Metrics.Prometheus.Add("streams_ended_inside_event", "framing", a.Framing.String())
	if !d.sampler.Allow("ended inside an event") {
		return
	}
	d.Log.WithFields(logrus.Fields{
		telemetry.FieldRequest: q.ID, "target": string(target.ID), "framing": a.Framing.String(), "events": events, "left_bytes": len(e.raw),
	}).Info("a stream ended inside an event")
}
