package ingress

import (
	"context"
	"errors"
	"fmt"

	"quaydock/pkg/forward"
)

// Ender is who ended an answer that had begun before it was whole.
type EndedBy int

//go:generate stringer -type=EndedBy -trimprefix=Ender -output=ender_string.go

// The enders.
const (
	// EnderTarget: its target broke it off, and no other one could go on.
	EnderTarget EndedBy = iota
	// EnderNewStart: its target has started again.
	EnderNewStart
	// EnderGivenUp: this entry gave its target up, as its VM did not answer, and the next one failed.
	EnderGivenUp
	// EnderDeadline: the time of the request is over.
	EnderDeadline
	// EnderEntry: this entry ends.
	EnderEntry
	// EnderCaller: its caller left before its time was over.
	EnderCaller
)

// errGivenUp says that this entry ended an exchange whose target went on, as far as is known.
var errGivenUp = errors.New("its target was given up")

// blame has the error of a lost exchange say if this entry ended it; the error of the connection would read the same
// whoever did.
func blame(ctx context.Context, result attempt) attempt {
	failed, ok := result.(lost)
	if !ok || !errors.Is(context.Cause(ctx), errMoved) {
		return result
	}
	failed.err = fmt.Errorf("%w: %w", errGivenUp, failed.err)
	return failed
}

// ender tells who ended the answer to a request.
func (r *request) ender(cause Cause) EndedBy {
	switch {
	case cause == CauseLeft:
		return EnderCaller
	case cause == CauseDeadline:
		return EnderDeadline
	case cause == CauseLeaving:
		return EnderEntry
	case errors.Is(r.lostBy, forward.ErrReplaced):
		return EnderNewStart
	case errors.Is(r.lostBy, errGivenUp):
		return EnderGivenUp
	default:
		return EnderTarget
	}
}

// brokenOff counts and logs an answer that had begun and was broken off.
func (c *Controller) brokenOff(q *request, refusal *Refusal) {
	by := q.ender(refusal.Cause)
	c.Metrics.Prometheus.Add("answers_broken_off", "by", by.String())
	if !c.sampler.Allow("broken off") {
		return
	}
	now := c.Clock.Now()
	fields := c.fields(q)
	fields["ended_by"] = by.String()
	fields["cause"] = refusal.Cause.String()
	fields["silence_ms"] = int64(now - q.eventAt)
	fields["left_ms"] = int64(q.deadline - now)
	entry := c.Log.WithFields(fields)
	if q.lostBy != nil {
		entry = entry.WithError(q.lostBy)
	}
	entry.Info("an answer that had begun was broken off")
}
