package ingress

import (
	"context"
	"errors"
	"net/http"

	"quaydock/pkg/forward"
	"quaydock/pkg/planner"
	"quaydock/pkg/schedule"
)

// exchange sends the request to the target of a place and relays the answer. If the target falls
// silent meanwhile, another one may take over.
func (d *delivery) exchange(ctx context.Context, q *request, out *answerWriter, place schedule.Assignment) attempt {
	q.placedAt = d.Clock.Now()
	ctx, span := d.Tracer.Start(ctx, "entry.exchange")
	defer span.End()
	w := d.watch(ctx, q, place)
	defer w.close(q)
	answer, result := d.send(w.exchangeCtx, q, place)
	if answer != nil {
		result = d.relay(w, q, out, place, answer)
	}
	return w.awaitReplacement(blame(w.exchangeCtx, result))
}

// takeOver relays the answer of a target that has taken over from a silent one.
func (d *delivery) takeOver(ctx context.Context, q *request, out *answerWriter, t *takeover) attempt {
	q.placedAt = t.sentAt
	w := d.watchTakeover(ctx, q, t)
	defer w.close(q)
	defer t.answer.Close()
	var result attempt
	if t.events != nil {
		result = d.relayStream(w, q, out, t.place, t.answer, t.events)
	} else {
		result = d.passWhole(w, q, out, t.place, t.answer, t.body)
	}
	return w.awaitReplacement(blame(w.exchangeCtx, result))
}

// send sends the request to the target of a place. It returns the head of the answer, or else how the
// exchange ended; the place has then been given back.
func (d *delivery) send(ctx context.Context, q *request, place schedule.Assignment) (*forward.Answer, attempt) {
	target := place.Target()
	onward := TargetCall{Target: target.ID, Account: q.accountName(), Remaining: q.deadline - d.Clock.Now(), LastEvent: q.resumeAt()}
	result := d.pool.Send(ctx, target, &forward.Request{
		ID: q.ID, Method: q.http.Method, Path: q.http.RequestURI, Host: q.http.Host,
		Header: d.dialect.TargetHeaders(q.http.Header, onward), Body: q.body,
	})
	if _, kept := result.(forward.Withheld); kept {
		q.note(d.Clock.Now(), "not sent, by its own word, to", target.ID)
		place.Done(planner.Withheld, planner.StreamStats{})
		return nil, withheld{}
	}
	q.tried = append(q.tried, target.Incarnation())
	switch result := result.(type) {
	case forward.NotSent:
		q.note(d.Clock.Now(), "not reached", target.ID)
		place.Done(unreached(ctx), planner.StreamStats{})
		return nil, declined{result.Err}
	case forward.Declined:
		q.note(d.Clock.Now(), "not run, by its own word, at", target.ID)
		q.sends++
		if result.Status == http.StatusMisdirectedRequest {
			place.Done(planner.Moved, planner.StreamStats{})
		} else {
			place.Done(planner.Full, planner.StreamStats{})
		}
		return nil, declined{}
	case *forward.Answer:
		q.sends++
		return result, nil
	default:
		q.note(d.Clock.Now(), "broken off without an answer at", target.ID)
		q.sends++
		place.Done(failure(ctx), planner.StreamStats{})
		return nil, lost{err: result.(forward.Broken).Err}
	}
}

// failure tells a target's failure from the end of the request's own time, and from that of a second run that
// is not needed.
func failure(ctx context.Context) planner.Outcome {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errMoved) {
		return planner.Abandoned
	}
	return planner.Failed
}

// unreached tells a target that could not be reached from the end of the attempt to reach it.
func unreached(ctx context.Context) planner.Outcome {
	if ctx.Err() != nil {
		return planner.Abandoned
	}
	return planner.Unreached
}
