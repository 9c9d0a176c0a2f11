package entry

import (
	"context"
	"errors"

	"quaydock/pkg/claim"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/control"
	"quaydock/pkg/lifecycle"
	"quaydock/pkg/refusal"
	"quaydock/pkg/resume"
)

// maxBindings limits how often one request is bound. Each binding after the first requires proof that the one
// before was never dispatched.
const maxBindings = 8

// maxResumes is how many times in a row an answer that breaks off is resumed. A connection that delivered bytes or
// held for a while starts the count again (see resume.BreakStreak).
const maxResumes = 8

// errDeadline is the cause with which a request's context ends at its deadline.
var errDeadline = errors.New("the request's deadline has passed")

// dispatcher serves a request from waiting to its final state.
type dispatcher struct {
	common.Common
	ticketing      *ticketing
	exchange       *exchange
	claimer        *claim.Claimer
	outcomeTimeout clock.Millis // for all queries for the outcome of a grant after one break
}

// serve runs the request and relays its answer. It returns nil if the answer was complete or the caller has
// disconnected, else why there is no complete answer. It returns only when the request has ended.
func (d *dispatcher) serve(ctx context.Context, r *request, out *answerWriter) *refusal.Refusal {
	if r.key == "" {
		return d.bindAndSend(ctx, r, out)
	}
	won, err := d.claimer.Claim(ctx, r.account, r.key, r.id)
	if won {
		why := d.bindAndSend(ctx, r, out)
		if r.state == lifecycle.Refused {
			d.claimer.Release(r.account, r.key, r.id)
		}
		return why
	}
	r.become(lifecycle.Refused)
	if err == nil {
		return refusal.KeyTaken()
	}
	// Claim fails only when ctx has ended. The claim may have been written nevertheless, so it is freed.
	d.claimer.Release(r.account, r.key, r.id)
	if gave, ok := interrupted(ctx).(gaveUp); ok {
		return gave.refusal
	}
	return nil
}

// bindAndSend serves a request whose idempotency key, if any, is claimed, from waiting to its final state. The result
// is that of serve.
func (d *dispatcher) bindAndSend(ctx context.Context, r *request, out *answerWriter) *refusal.Refusal {
	for range maxBindings {
		switch waited := d.ticketing.wait(ctx, r).(type) {
		case granted:
			why, again := d.useGrant(ctx, r, waited, out)
			if !again {
				return why
			}
		case gaveUp:
			r.become(lifecycle.Refused)
			return waited.refusal
		case callerLeft:
			r.become(lifecycle.Refused)
			return nil
		}
	}
	r.become(lifecycle.Refused)
	return refusal.NoTarget(minRetryAfter)
}

// useGrant sends the request on a grant. Again means that the request was not dispatched and has to wait for
// another grant.
func (d *dispatcher) useGrant(ctx context.Context, r *request, bound granted, out *answerWriter) (why *refusal.Refusal, again bool) {
	defer bound.session.release()
	if d.ticketing.pool.stopped() {
		bound.session.returnGrant(r.id, bound.attempt)
		r.become(lifecycle.Refused)
		return refusal.NoTarget(minRetryAfter), false
	}
	r.become(lifecycle.Bound)
	result := d.send(ctx, r, bound, out)
	if _, never := result.(neverDispatched); never {
		r.avoid(d.Clock.Now(), bound.session)
		return nil, true
	}
	return d.finish(r, bound, result), false
}

// finish moves a sent request to its final state and returns the refusal for the caller, if there is one.
func (d *dispatcher) finish(r *request, bound granted, result exchangeResult) *refusal.Refusal {
	switch result := result.(type) {
	case answered:
		r.become(lifecycle.Answered)
		return nil
	case ended:
		d.abandon(r, bound)
		return result.refusal
	default: // callerLeft
		d.abandon(r, bound)
		return nil
	}
}

// abandon ends a request whose work may still run, and has the agent cancel it.
func (d *dispatcher) abandon(r *request, bound granted) {
	r.become(lifecycle.Unknown)
	bound.session.cancel(r.id, bound.grant)
}

// send makes the one exchange that a binding allows. If it breaks, the outcome of the grant that the agent reports
// decides how to go on. The first query of a streak of breaks is made at once, later ones after a pause. The result is
// never broken.
func (d *dispatcher) send(ctx context.Context, r *request, bound granted, out *answerWriter) exchangeResult {
	streak := resume.NewBreakStreak(maxResumes, d.Clock.Now())
	backoff := d.Random.NewBackoff(minBackoff, maxBackoff)
	result := d.exchange.dispatch(ctx, r, bound, out)
	for {
		failure, isBroken := result.(broken)
		if !isBroken {
			return result
		}
		d.Metrics.Links.Add("exchange_broken", 1)
		d.Log.WithField("request", string(r.id)).WithError(failure.cause).Info("exchange with the agent broke; querying the outcome of the grant")
		// The last argument says that a connection was made, so that the time it held counts.
		breaks, again := streak.Broke(d.Clock.Now(), out.received, !errors.Is(failure.cause, errNotSent))
		switch {
		case !again:
			return d.unknownOutcome(ctx, out)
		case breaks == 1:
			backoff.Reset()
		default:
			backoff.Pause(ctx)
		}
		switch d.resolve(ctx, r, bound) {
		case control.FateNever:
			return d.backToWaiting(r)
		case control.FateDispatched:
			// The request stays in state Sent: an agent that is about to find its target unreachable reports so
			// afterwards.
			streak.Begin(d.Clock.Now())
			result = d.exchange.resume(ctx, r, bound, out)
		default:
			return d.unknownOutcome(ctx, out)
		}
	}
}

// backToWaiting returns the result for a request whose grant the agent reported as never dispatched.
func (d *dispatcher) backToWaiting(r *request) exchangeResult {
	r.become(lifecycle.Waiting)
	return neverDispatched{}
}

// unknownOutcome returns what the caller gets when the agent does not report the outcome, or the answer broke off too
// often to be resumed again.
func (d *dispatcher) unknownOutcome(ctx context.Context, out *answerWriter) exchangeResult {
	switch {
	case errors.Is(context.Cause(ctx), errDeadline):
		return ended{refusal.DeadlineUnknown()}
	case ctx.Err() != nil:
		return callerLeft{}
	case out.started():
		return ended{refusal.AnswerCut()}
	default:
		return ended{refusal.Unknown()}
	}
}

// resolve queries the agent for the outcome of the grant until it answers. It returns control.FateUnknown also if ctx
// or the time limit has ended before.
func (d *dispatcher) resolve(ctx context.Context, r *request, bound granted) control.Fate {
	until := d.Clock.Now() + d.outcomeTimeout
	backoff := d.Random.NewBackoff(minBackoff, maxBackoff)
	for ctx.Err() == nil && d.Clock.Now() < until {
		fate, err := bound.session.outcome(ctx, r.id, bound.grant)
		if err == nil {
			return fate
		}
		backoff.Pause(ctx)
	}
	return control.FateUnknown
}
