package ingress

import (
	"context"
	"errors"
	"fmt"

	"quaydock/pkg/forward"
)

// EndedBy says who ended an answer that had begun but was not complete.
type EndedBy int

//go:generate stringer -type=EndedBy -trimprefix=Ender -output=ender_string.go

// Values of EndedBy.
const (
	// EnderTarget: its target broke it off, and no other one could continue it.
	EnderTarget EndedBy = iota
	// EnderNewStart: its target was restarted.
	EnderNewStart
	// EnderGivenUp: this entry gave its target up, as the target's VM did not answer, and the next target failed.
	EnderGivenUp
	// EnderDeadline: the request's deadline passed.
	EnderDeadline
	// EnderEntry: this entry's process ended.
	EnderEntry
	// EnderCaller: its caller left before its deadline.
	EnderCaller
	// EnderSlowReader: its caller did not read, and this entry held too much for callers.
	EnderSlowReader
)

// errGivenUp marks an exchange that this entry ended although its target may still have been running the request.
var errGivenUp = errors.New("target was given up by this entry")

// wrapGivenUp marks the error of a lost exchange with errGivenUp if this entry ended it, as the error of the connection
// reads the same whoever closed it. The context is that of the exchange; other results are returned unchanged.
func wrapGivenUp(ctx context.Context, result attempt) attempt {
	failed, ok := result.(lost)
	if !ok || !errors.Is(context.Cause(ctx), errRedispatched) {
		return result
	}
	failed.err = fmt.Errorf("%w: %w", errGivenUp, failed.err)
	return failed
}

// endedBy returns who ended the answer to a request.
func (r *request) endedBy(cause Cause) EndedBy {
	switch {
	case cause == CauseLeft:
		return EnderCaller
	case cause == CauseSlowReader:
		return EnderSlowReader
	case cause == CauseDeadline:
		return EnderDeadline
	case cause == CauseLeaving:
		return EnderEntry
	case errors.Is(r.lostErr, forward.ErrReplaced):
		return EnderNewStart
	case errors.Is(r.lostErr, errGivenUp):
		return EnderGivenUp
	default:
		return EnderTarget
	}
}

// brokenOff counts and logs an answer that had begun and was broken off.
func (c *Controller) brokenOff(q *request, refusal *Refusal, out *answerWriter) {
	by := q.endedBy(refusal.Cause)
	c.Metrics.Prometheus.Add("answers_broken_off", "by", by.String())
	ready := out.ready > 0
	if ready {
		c.Metrics.Prometheus.Add("ready_answers_broken_off", "by", by.String())
	}
	if !c.sampler.Allow("broken off") {
		return
	}
	now := c.Clock.Now()
	fields := c.fields(q)
	fields["ended_by"] = by.String()
	fields["cause"] = refusal.Cause.String()
	fields["silence_ms"] = int64(now - q.eventAt)
	fields["left_ms"] = int64(q.deadline - now)
	fields["target_done"] = ready
	if ready {
		fields["ready_ms"] = int64(now - out.ready)
	}
	if out.buffer != nil {
		fields["unsent_bytes"] = out.buffer.unsentBytes()
	}
	if slow := out.slowReader(); slow != nil {
		fields["held_bytes"] = slow.Held
		fields["untaken_ms"] = int64(slow.Untaken)
		fields["behind_ms"] = int64(slow.Behind)
		fields["all_held_bytes"] = slow.Total
	}
	entry := c.Log.WithFields(fields)
	if q.lostErr != nil {
		entry = entry.WithError(q.lostErr)
	}
	entry.Info("an answer that had begun was broken off")
}
