package ingress

import (
	"context"
	"errors"

	"quaydock/pkg/buffers"
	"quaydock/pkg/forward"
)

// targetFailure is a target's own failure answer that was not passed on to the caller, because the request was to
// be retried on another target.
type targetFailure struct {
	answer *forward.Answer
	body   []byte
}

// keepFailure keeps a target's failure answer, unless it was not read to its end or there is no room for its head.
func (d *delivery) keepFailure(q *request, a *forward.Answer, body plainBody) {
	if !body.whole {
		return
	}
	if head := a.HeldBytes(); head > 0 {
		slowest, held := d.buffers.HoldAnswer(d.Clock.Now(), head)
		buffers.BreakOff(slowest)
		if !held {
			return
		}
		q.heldAnswers += head
	}
	q.heldFailure = &targetFailure{answer: a, body: body.data}
}

// writeHeldFailure passes on a target's kept failure answer if no other target has answered: a target's answer is
// preferred to a refusal by this entry. It reports whether it did, and false if writing failed.
func (d *delivery) writeHeldFailure(ctx context.Context, q *request, out *answerWriter, refusal *Refusal) bool {
	if q.heldFailure == nil || out.started || refusal.Cause == CauseLeft || callerHasLeft(ctx) {
		return false
	}
	q.addToTrail(d.Clock.Now(), "passed on the failure kept from a target", "")
	out.head(d.headerCodec, q.heldFailure.answer, q.heldFailure.answer.Length)
	_, written := d.writeWhole(q, out, q.heldFailure.answer, q.heldFailure.body).(completed)
	return written
}

// callerHasLeft reports whether a request's context was canceled by its caller, and not by its deadline or the
// entry's shutdown.
func callerHasLeft(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause != nil && !errors.Is(cause, errDeadline) && !errors.Is(cause, errEnded)
}
