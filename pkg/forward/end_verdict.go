package forward

import (
	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/network"
	"quaydock/pkg/telemetry"
)

// EndVerdict is what judged the end of an answer that only its connection ends.
type EndVerdict int

//go:generate stringer -type=EndVerdict -trimprefix=End -output=end_verdict_string.go

// The verdicts.
const (
	// EndNotKnown: no process at the target's address said in time who it is.
	EndNotKnown EndVerdict = iota
	// EndSameProcess: the process that sent the answer said so behind its end.
	EndSameProcess
	// EndOtherProcess: another process answers at the target's address.
	EndOtherProcess
	// EndRefused: the target's address refuses connections.
	EndRefused
	// EndReplaced: another incarnation of the target is listed.
	EndReplaced
	// EndUnread: the request could not be written to its end.
	EndUnread
)

// whole reports whether an answer whose end was judged so is whole.
func (v EndVerdict) whole() bool { return v == EndSameProcess }

// recordEnd logs and counts how the end of an answer was judged, since the given time.
func (e *exchange) recordEnd(verdict EndVerdict, since clock.Millis) {
	p := e.pool
	p.Metrics.Prometheus.Add("answer_ends_judged", "by", verdict.String())
	if p.sampler.Allow("end judged") {
		p.Log.WithFields(logrus.Fields{
			telemetry.FieldRequest: e.request.ID, "target": string(e.target.ID), "framing": network.FramedByClose.String(),
			"by": verdict.String(), "whole": verdict.whole(), "judging_ms": int64(p.Clock.Now() - since),
		}).Info("the end of an answer without a length was judged")
	}
}
