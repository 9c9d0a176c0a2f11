package ingress

import (
	"context"
	"errors"
	"net/http"
	"syscall"

	"quaydock/pkg/forward"
	"quaydock/pkg/planner"
	"quaydock/pkg/schedule"
)

// exchange sends the request to the target of an assignment and relays the answer. If the target is silent for too
// long, another one may take over.
func (d *delivery) exchange(ctx context.Context, q *request, out *answerWriter, assignment schedule.Assignment) attempt {
	q.placedAt, q.beganAt, q.survived = d.Clock.Now(), 0, false
	ctx, span := d.Tracer.Start(ctx, "entry.exchange")
	defer span.End()
	w := d.watch(ctx, q, assignment)
	defer w.close(q)
	answer, result := d.send(w.exchangeCtx, q, assignment)
	if answer != nil {
		result = d.relay(w, q, out, assignment, answer)
	}
	return w.awaitReplacement(wrapGivenUp(w.exchangeCtx, result))
}

// takeOver relays the answer of a target that has taken over from a silent one.
func (d *delivery) takeOver(ctx context.Context, q *request, out *answerWriter, t *takeover) attempt {
	q.placedAt, q.beganAt, q.survived, q.start = t.sentAt, 0, false, t.start
	w := d.watchTakeover(ctx, q, t)
	defer w.close(q)
	defer t.answer.Close()
	var result attempt
	if t.events != nil {
		result = d.relayStream(w, q, out, t.assignment, t.answer, t.events)
	} else {
		result = d.relayBuffered(w, q, out, t.assignment, t.answer, t.body)
	}
	return w.awaitReplacement(wrapGivenUp(w.exchangeCtx, result))
}

// send sends the request to the target of an assignment. It returns the answer once its head has arrived, or else how
// the exchange ended; in that case it has called Done on the assignment.
func (d *delivery) send(ctx context.Context, q *request, assignment schedule.Assignment) (*forward.Answer, attempt) {
	target := assignment.Target()
	call := TargetCall{Target: target.ID, Account: q.accountName(), Remaining: q.deadline - d.Clock.Now(), LastEvent: q.resumeAfter()}
	result := d.pool.Send(ctx, target, &forward.Request{
		ID: q.ID, Method: q.http.Method, Path: q.http.RequestURI, Host: q.http.Host,
		Header: d.headerCodec.TargetHeaders(q.http.Header, call), Body: q.body,
	})
	if _, isWithheld := result.(forward.Withheld); isWithheld {
		q.addToTrail(d.Clock.Now(), "not sent, by its own report, to", target.ID)
		assignment.Done(planner.Withheld, planner.StreamStats{})
		return nil, withheld{}
	}
	q.tried = append(q.tried, target.Incarnation())
	switch result := result.(type) {
	case forward.NotSent:
		q.addToTrail(d.Clock.Now(), "not reached", target.ID)
		if errors.Is(result.Err, syscall.ECONNREFUSED) {
			d.recordTargetEnd(target)
		}
		assignment.Done(unreachedOutcome(ctx), planner.StreamStats{})
		return nil, declined{result.Err}
	case forward.Declined:
		q.addToTrail(d.Clock.Now(), "not run, by its own report, at", target.ID)
		q.sends++
		if result.Status == http.StatusMisdirectedRequest {
			assignment.Done(planner.Moved, planner.StreamStats{})
		} else {
			assignment.Done(planner.Full, planner.StreamStats{})
		}
		return nil, declined{}
	case *forward.Answer:
		q.sends++
		return result, nil
	default:
		q.addToTrail(d.Clock.Now(), "broken off without an answer at", target.ID)
		q.sends++
		assignment.Done(failureOutcome(ctx), planner.StreamStats{})
		return nil, lost{err: result.(forward.Broken).Err}
	}
}

// failureOutcome returns Failed for a failure of the target, also if this entry gave it up as silent, and Abandoned if
// the request's time is over or the exchange was a second run that is not needed. The context is that of the exchange.
func failureOutcome(ctx context.Context) planner.Outcome {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errRedispatched) {
		return planner.Abandoned
	}
	return planner.Failed
}

// unreachedOutcome returns Unreached for a target that could not be reached, and Abandoned if the attempt was
// cancelled.
func unreachedOutcome(ctx context.Context) planner.Outcome {
	if ctx.Err() != nil {
		return planner.Abandoned
	}
	return planner.Unreached
}
