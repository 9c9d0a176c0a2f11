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

// maxBindings bounds how often one request is bound: each binding after the
// first stands on proof that the one before was never dispatched.
const maxBindings = 8

// maxResumes bounds how often in a row one answer is taken up again.
const maxResumes = 8

// errDeadline is the cause with which a request's context ends at its deadline.
var errDeadline = errors.New("the request's deadline has passed")

// dispatcher takes a request from waiting to its end.
type dispatcher struct {
	common.Common
	ticketing      *ticketing
	exchange       *exchange
	claimer        *claim.Claimer
	outcomeTimeout clock.Millis
}

// serve runs the request and relays its answer. It returns nil if the answer
// was whole or the caller has gone, else why there is no whole answer. It
// returns only when the request has ended.
func (d *dispatcher) serve(ctx context.Context, r *request, out *answerWriter) *refusal.Refusal {
	if r.key == "" {
		return d.bind(ctx, r, out)
	}
	won, err := d.claimer.Claim(ctx, r.account, r.key, r.id)
	if won {
		why := d.bind(ctx, r, out)
		if r.state == lifecycle.Refused {
			d.claimer.Free(r.account, r.key, r.id)
		}
		return why
	}
	r.become(lifecycle.Refused)
	if err == nil {
		return refusal.KeyTaken()
	}
	// A claim that was written though nobody could say so is given back.
	d.claimer.Free(r.account, r.key, r.id)
	if gave, ok := interrupted(ctx).(gaveUp); ok {
		return gave.refusal
	}
	return nil
}

// bind takes a request that may run from waiting to its end.
func (d *dispatcher) bind(ctx context.Context, r *request, out *answerWriter) *refusal.Refusal {
	for range maxBindings {
		switch waited := d.ticketing.wait(ctx, r).(type) {
		case granted:
			why, again := d.use(ctx, r, waited, out)
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

// use makes use of a grant. Again says that the request was not dispatched and has to wait for another one.
func (d *dispatcher) use(ctx context.Context, r *request, bound granted, out *answerWriter) (why *refusal.Refusal, again bool) {
	defer bound.session.release()
	r.become(lifecycle.Bound)
	result := d.send(ctx, r, bound, out)
	if _, never := result.(neverDispatched); never {
		r.noteFruitless(d.Clock.Now(), bound.session)
		return nil, true
	}
	return d.end(r, bound, result), false
}

// end moves a request that was sent to its last state.
func (d *dispatcher) end(r *request, bound granted, result exchangeResult) *refusal.Refusal {
	switch result := result.(type) {
	case answered:
		r.become(lifecycle.Answered)
		return nil
	case ended:
		d.leaveBehind(r, bound)
		return result.refusal
	default:
		d.leaveBehind(r, bound)
		return nil
	}
}

// leaveBehind ends a request whose work may still run, and has it stopped.
func (d *dispatcher) leaveBehind(r *request, bound granted) {
	r.become(lifecycle.Unknown)
	bound.session.cancel(r.id, bound.grant)
}

// send makes the one exchange that a binding allows. If it breaks, the agent's
// word on the grant decides how to go on.
func (d *dispatcher) send(ctx context.Context, r *request, bound granted, out *answerWriter) exchangeResult {
	row := resume.NewBreakStreak(maxResumes, d.Clock.Now())
	backoff := d.Random.NewBackoff(minBackoff, maxBackoff)
	result := d.exchange.dispatch(ctx, r, bound, out)
	for {
		failure, isBroken := result.(broken)
		if !isBroken {
			return result
		}
		d.Metrics.Links.Add("exchange_broken", 1)
		d.Log.WithField("request", string(r.id)).WithError(failure.cause).Info("exchange broke; asking for the outcome")
		breaks, again := row.Broke(d.Clock.Now(), out.taken, !errors.Is(failure.cause, errNotSent))
		switch {
		case !again:
			return d.unknown(ctx, out)
		case breaks == 1:
			backoff.Reset()
		default:
			backoff.Pause(ctx)
		}
		switch d.resolve(ctx, r, bound) {
		case control.FateNever:
			return d.backToWaiting(r)
		case control.FateDispatched:
			// The request stays sent: an agent that is about to find its target out of reach says so afterwards.
			row.Begin(d.Clock.Now())
			result = d.exchange.resume(ctx, r, bound, out)
		default:
			return d.unknown(ctx, out)
		}
	}
}

func (d *dispatcher) backToWaiting(r *request) exchangeResult {
	r.become(lifecycle.Waiting)
	return neverDispatched{}
}

// unknown says what is told when the agent's word cannot be had.
func (d *dispatcher) unknown(ctx context.Context, out *answerWriter) exchangeResult {
	switch {
	case errors.Is(context.Cause(ctx), errDeadline):
		return ended{refusal.DeadlineUnknown()}
	case ctx.Err() != nil:
		return callerLeft{}
	case out.started():
		return ended{refusal.Cut()}
	default:
		return ended{refusal.Unknown()}
	}
}

// resolve asks the agent for the fate of the grant until it answers or the
// time for it is over.
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
