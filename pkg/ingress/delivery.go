package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"quaydock/pkg/ablation"
	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/forward"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/quarantine"
	"quaydock/pkg/quota"
	"quaydock/pkg/schedule"
	"quaydock/pkg/telemetry"
)

// delivery takes an admitted request to a target and its answer back.
type delivery struct {
	common.Common
	admission *admission
	dialect   HeaderCodec
	scheduler schedule.Scheduler
	pool      *forward.Pool
	retries   *quota.RetryBudget
	entries   Entries
	guard     *quarantine.Guard
	advice    *advisory.Tracker
	sampler   *telemetry.Sampler
}

const (
	// maxSends bounds the exchanges of one request, those included that surely
	// did not run.
	maxSends = 4
	// mostWithheld is how many places a request leaves unused before it is not to get the same target again.
	// Whoever gives the places soon hears what the target said; until a rest is over, the request may wait for it.
	mostWithheld = 3
	// minLeft is the least time for which it is worth asking a target.
	minLeft = 20 * clock.Millisecond
	// retryDeclined is when to come back if targets had no room.
	retryDeclined = 500 * clock.Millisecond
)

// attempt is how one exchange ended: completed, declined or lost.
type attempt interface{ attempt() }

type (
	// completed: the caller has its answer.
	completed struct{}
	// withheld: nothing was sent, as the target had told this entry not to.
	withheld struct{}
	// declined: the target surely did not run the request.
	declined struct{ err error }
	// lost: the target may have run the request. again says that one more
	// exchange has been granted already, answered that the target did answer, final that no other
	// target can go on with what the caller has.
	lost struct {
		err      error
		again    bool
		answered bool
		final    bool
	}
	// handedOver: the target fell silent, and another one has taken over; notRun says that it surely did not run the
	// request.
	handedOver struct {
		to     *takeover
		notRun bool
	}
	// callerGone: the caller can no longer be written to.
	callerGone struct{ err error }
)

func (completed) attempt()  {}
func (withheld) attempt()   {}
func (declined) attempt()   {}
func (lost) attempt()       {}
func (handedOver) attempt() {}
func (callerGone) attempt() {}

// run serves a request. It returns why there is no whole answer, or nil.
func (d *delivery) run(ctx context.Context, q *request, out *answerWriter) *Refusal {
	admitted := q.account
	d.retries.CountRequest(d.Clock.Now(), q.service)
	refusal := d.tries(ctx, q, out)
	if refusal != nil && d.giveHeld(ctx, q, out, refusal) {
		return nil
	}
	if refusal != nil && q.sent == 0 {
		d.admission.refund(q, admitted)
	}
	return refusal
}

func (d *delivery) tries(ctx context.Context, q *request, out *answerWriter) *Refusal {
	var pass *quarantine.Permit
	defer func() { pass.Release(false) }()
	for {
		place, entered, refusal := d.enter(ctx, q, pass)
		if refusal != nil {
			return d.giveUp(ctx, q, refusal)
		}
		target := place.Target()
		result := d.exchange(ctx, q, out, place)
		for next, ok := result.(handedOver); ok; next, ok = result.(handedOver) {
			if !next.notRun {
				q.sent++
			}
			entered = d.observe(ctx, q, target, entered, result)
			target = next.to.place.Target()
			result = d.takeOver(ctx, q, out, next.to)
		}
		pass = d.observe(ctx, q, target, entered, result)
		switch result := result.(type) {
		case completed:
			return nil
		case callerGone:
			return d.goneAway(q, result.err)
		case withheld:
			// Nothing has reached the target, so that this is no repeat.
			q.passOver(target.Incarnation())
		case declined:
			q.declines++
			if !d.again(q) {
				return d.giveUp(ctx, q, &Refusal{Status: http.StatusServiceUnavailable, Cause: CauseDeclined, RetryAfter: d.afterDeclined(q), Err: result.err})
			}
		case lost:
			q.sent++
			q.lostBy = result.err
			if ctx.Err() != nil || result.final || !result.again && (!d.repeatable(q, out) || !d.again(q)) {
				return d.giveUp(ctx, q, &Refusal{Status: http.StatusBadGateway, Cause: CauseLost, Err: result.err})
			}
		}
	}
}

// acquire waits for a place on a target. What the request was admitted under
// is looked up again once there is one.
func (d *delivery) acquire(ctx context.Context, q *request) (schedule.Assignment, *Refusal) {
	ctx, span := d.Tracer.Start(ctx, "entry.place")
	defer span.End()
	place, refused, err := d.scheduler.Acquire(ctx, schedule.Request{Service: q.service, Job: planner.Job{
		Account: q.accountName(), Tier: q.tier(),
		Prompt: q.Prompt, Events: d.admission.events(q), Gap: q.route.EventGap,
		Arrived: q.arrived, SinceFirstTry: q.before, Objective: q.route.Objective, Deadline: q.deadline, Patience: q.patience(),
		Returned: q.returned(), Movable: d.movable(q), Exclude: q.tried,
		Route: ids.Route(q.route.Name),
	}})
	now := d.Clock.Now()
	switch {
	case errors.Is(err, errNotNeeded):
		return nil, &Refusal{Cause: CauseNone}
	case err != nil:
		q.note(now, "no place in its time", "")
		return nil, &Refusal{Status: http.StatusGatewayTimeout, Cause: CauseDeadline}
	case refused != nil && refused.Overloaded:
		q.note(now, fmt.Sprintf("refused: %d ahead, a wait of %d ms", refused.Ahead, refused.Wait), "")
		return nil, notRun(CauseOverloaded, refused.RetryAfter)
	case refused != nil && refused.BackedOff:
		q.note(now, fmt.Sprintf("all targets rest from here, the first for %d ms more", refused.Wait), "")
		return nil, notRun(CauseResting, refused.RetryAfter)
	case refused != nil:
		return nil, notRun(CauseNoTarget, refused.RetryAfter)
	}
	q.note(now, "placed on", place.Target().ID)
	if hasLeft(ctx) {
		place.Done(planner.Abandoned, planner.StreamStats{})
		return nil, &Refusal{Cause: CauseLeft, Err: errEndSeen}
	}
	if refusal := d.recheck(q, place); refusal != nil {
		q.note(now, "not sent after all: "+refusal.Cause.String(), "")
		place.Done(planner.Abandoned, planner.StreamStats{})
		return nil, refusal
	}
	return place, nil
}

// recheck looks up route, key and the end of a stop once more before a request is sent.
func (d *delivery) recheck(q *request, place schedule.Assignment) *Refusal {
	account := q.account
	if refusal := d.admission.resolve(q); refusal != nil {
		// It was allowed when it came: it may come back and be judged anew.
		return notRun(refusal.Cause, comeBack)
	}
	if account != nil && q.account == nil || !q.route.LeadsTo(place.Target().Service) {
		return notRun(CauseNoRoute, comeBack)
	}
	if q.sent > 0 && !d.repeats(q) {
		return notRun(CauseNoRoute, comeBack)
	}
	now := d.Clock.Now()
	if now >= q.deadline {
		// The VM was suspended, and the timer of the request's time with it.
		return notRun(CauseDeadline, comeBack)
	}
	if q.sent == 0 && !d.admission.closing.sends(now, q.deadline, q.route) {
		return notRun(CauseLeaving, d.admission.closing.retryAfter(now))
	}
	return nil
}

// repeatable reports whether a request that may have run may be sent again.
func (d *delivery) repeatable(q *request, out *answerWriter) bool {
	if !d.repeats(q) {
		return false
	}
	return !out.started || q.route.Resumable && !d.Ablation.Off(ablation.Resumption)
}

// repeats reports whether the route in force lets one more target have a request that may have run.
func (d *delivery) repeats(q *request) bool {
	return q.route.Idempotent() && q.sent < q.route.Attempts
}

// movable reports whether a request that may have run could be sent to one more
// target after this one.
func (d *delivery) movable(q *request) bool {
	return q.route.Idempotent() && q.sent+1 < q.route.Attempts
}

// again reports whether one more exchange is within the bounds.
func (d *delivery) again(q *request) bool {
	now := d.Clock.Now()
	if q.sends >= maxSends || q.deadline-now < minLeft || d.Ablation.Off(ablation.Retries) {
		return false
	}
	return d.untried(q) && d.retries.TakeRetry(now, q.service, d.entries.Share())
}

// untried reports whether there is a target that the request was not sent to in its present life, and may be.
func (d *delivery) untried(q *request) bool {
	for _, t := range d.admission.view.Directory().Serving(q.service) {
		if !slices.Contains(q.tried, t.Incarnation()) && !d.advice.Status(t.Incarnation()).Blocks() {
			return true
		}
	}
	return false
}

// afterDeclined is when to come back after targets have declined a request.
func (d *delivery) afterDeclined(q *request) clock.Millis {
	rest := d.advice.AllBackoff(d.admission.view.Directory().Serving(q.service))
	return max(retryDeclined, planner.AfterBackoff(rest, d.Random.Fork().Float64()))
}

// goneAway is the final word on a request whose caller can't be written to.
func (d *delivery) goneAway(q *request, err error) *Refusal {
	if d.timeOver(q) {
		return &Refusal{Status: http.StatusGatewayTimeout, Cause: CauseDeadline, Err: err}
	}
	return &Refusal{Cause: CauseLeft, Err: err}
}

const (
	// callerLead is how long before this entry's a caller's clock may begin: a connection has to be made, and the
	// request to come. It is callerLeadPart of the caller's time at the most, so that one with little time can leave.
	callerLead     = 100 * clock.Millisecond
	callerLeadPart = 20
)

// timeOver reports whether a caller that closes its connection now does so because its time is over. Which end is seen first,
// the caller's or this entry's, would be chance.
func (d *delivery) timeOver(q *request) bool {
	lead := min(callerLead, q.Deadline/callerLeadPart)
	return q.Deadline > 0 && d.Clock.Now() >= q.arrived+q.Deadline-lead
}

// giveUp is the final word on a request, given how far it got.
func (d *delivery) giveUp(ctx context.Context, q *request, refusal *Refusal) *Refusal {
	ended := ctx.Err() != nil
	switch {
	case errors.Is(context.Cause(ctx), errEnded) && q.sent > 0:
		return &Refusal{Status: http.StatusBadGateway, Cause: CauseLeaving, Err: refusal.Err}
	case errors.Is(context.Cause(ctx), errEnded):
		return notRun(CauseLeaving, d.admission.closing.retryAfter(d.Clock.Now()))
	case refusal.Cause == CauseLeft:
		return d.goneAway(q, refusal.Err)
	case callerHasLeft(ctx) && !d.timeOver(q):
		return &Refusal{Cause: CauseLeft, Err: refusal.Err}
	case ended && q.sent > 0:
		return &Refusal{Status: http.StatusGatewayTimeout, Cause: CauseDeadline, Err: refusal.Err}
	case ended:
		return notRun(CauseDeadline, comeBack)
	case q.sent > 0:
		return &Refusal{Status: http.StatusBadGateway, Cause: CauseLost, Err: refusal.Err}
	default:
		return refusal
	}
}
