package ingress

import (
	"context"
	"errors"
)

// finishAnswer waits until the caller has taken an answer that its target has completed, and returns nil then. The
// target and its slot are free meanwhile, and the request's body is released, as it is not sent again.
func (d *delivery) finishAnswer(ctx context.Context, q *request, out *answerWriter) *Refusal {
	d.buffers.ReleaseBody(q.heldBody)
	q.body, q.heldBody = nil, 0
	if err := out.finish(); err != nil {
		return d.unreadRefusal(ctx, q, err)
	}
	return nil
}

// unreadRefusal returns why a caller did not get the rest of an answer, given the error of writing to it: it has left,
// unless the request's deadline ended the writing. A refusal as CauseLeft alone stays that at the deadline of the route.
func (d *delivery) unreadRefusal(ctx context.Context, q *request, err error) *Refusal {
	refusal := &Refusal{Cause: CauseLeft, Err: err}
	if errors.Is(context.Cause(ctx), errDeadline) {
		refusal.Cause = CauseDeadline
	}
	return d.finalRefusal(ctx, q, refusal)
}

// endUnfinished returns the final refusal of a request whose answer may have begun. If targets broke the answer off, it
// first waits until the caller has taken what is buffered. If the account broke it off, the cause is CauseSlowReader, as
// the error alone looks like a caller that has left.
func endUnfinished(refusal *Refusal, out *answerWriter) *Refusal {
	if refusal.Cause == CauseLost {
		_ = out.finish() // the answer ends either way
	}
	if out.slowReader() != nil {
		return &Refusal{Cause: CauseSlowReader, Err: errSlowReader}
	}
	return refusal
}
