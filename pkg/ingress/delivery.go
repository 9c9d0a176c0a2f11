package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"quaydock/pkg/ablation"
	"quaydock/pkg/advisory"
	"quaydock/pkg/buffers"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/forward"
	"quaydock/pkg/ids"
	"quaydock/pkg/invariant"
	"quaydock/pkg/planner"
	"quaydock/pkg/quarantine"
	"quaydock/pkg/quota"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
	"quaydock/pkg/streams"
	"quaydock/pkg/telemetry"
)

// delivery sends an admitted request to a target and relays the answer.
type delivery struct {
	common.Common
	admission   *admission
	headerCodec HeaderCodec
	scheduler   schedule.Scheduler
	pool        *forward.Pool
	retries     *quota.RetryBudget
	entries     Entries           // for this entry's share of the retries
	guard       *quarantine.Guard // never nil
	advice      *advisory.Tracker // what targets reported to this entry
	origins     *streams.Origins  // never nil
	ended       *endedTargets
	targetEnded func(*routing.Target) // never nil
	sampler     *telemetry.Sampler    // limits log lines
	unlogged    *continuationTally    // of streams that go on beyond that limit
	buffers     *buffers.Account      // what is held for callers and targets; never nil
}

const (
	// maxSends is the limit on exchanges of one request, including those that surely did not run.
	maxSends = 4
	// maxWithheld is how many assignments, to all targets together, a request may leave unused before it excludes each
	// further target whose assignment it does not use. The planner soon learns what the target reported; until a back-off
	// is over, the request may wait for the target.
	maxWithheld = 3
	// minRemaining is the minimum time that must remain before the deadline for another exchange.
	minRemaining = 20 * clock.Millisecond
	// declinedRetryAfter is the shortest Retry-After of a request that targets declined, as they had no free slot, or
	// that did not reach them.
	declinedRetryAfter = 500 * clock.Millisecond
)

// attempt is how one exchange ended.
type attempt interface{ attempt() }

type (
	// completed: the caller has a complete answer, of a status below 300 if success is set.
	completed struct{ success bool }
	// withheld: nothing was sent, as the target had asked this entry not to, or its failure domain is drained.
	withheld struct{}
	// declined: the target surely did not run the request. The error says why it could not be reached; it is nil if the
	// target itself declined.
	declined struct{ err error }
	// lost: the target may have run the request. retryTaken says that a retry has already been taken from the budget,
	// answered that the target did answer, final that no other target can continue what the caller has.
	lost struct {
		err        error
		retryTaken bool
		answered   bool
		final      bool
	}
	// handedOver: the target was silent, and another one has taken over. notRun says that the first target surely did not
	// run the request.
	handedOver struct {
		to     *takeover
		notRun bool
	}
	// callerGone: writing to the caller failed.
	callerGone struct{ err error }
)

func (completed) attempt()  {}
func (withheld) attempt()   {}
func (declined) attempt()   {}
func (lost) attempt()       {}
func (handedOver) attempt() {}
func (callerGone) attempt() {}

// run serves an admitted request, and returns its allowance if it surely did not run. It returns nil if the caller has
// an answer, or why there is no complete one.
func (d *delivery) run(ctx context.Context, q *request, out *answerWriter) *Refusal {
	admitted := q.account
	refusal := d.findOrigin(ctx, q)
	d.retries.CountRequest(d.Clock.Now(), q.service)
	if refusal == nil {
		refusal = d.runAttempts(ctx, q, out)
	}
	if refusal != nil && d.writeHeldFailure(ctx, q, out, refusal) {
		return d.finishAnswer(ctx, q, out)
	}
	if refusal != nil && q.sent == 0 {
		d.admission.refund(q, admitted)
	}
	return refusal
}

// runAttempts sends the request to one target after another until the caller has a complete answer or no further
// exchange is permitted.
func (d *delivery) runAttempts(ctx context.Context, q *request, out *answerWriter) *Refusal {
	var permit *quarantine.Permit
	defer func() { permit.Release(false) }() // false: a permit that is still held here was not used for a run
	for {
		assignment, entered, refusal := d.enter(ctx, q, permit)
		if refusal != nil {
			return d.finalRefusal(ctx, q, refusal)
		}
		target := assignment.Target()
		result := d.exchange(ctx, q, out, assignment)
		for next, ok := result.(handedOver); ok; next, ok = result.(handedOver) {
			if !next.notRun {
				q.sent++
			}
			entered = d.observe(ctx, q, target, entered, result)
			target = next.to.assignment.Target()
			result = d.takeOver(ctx, q, out, next.to)
		}
		permit = d.observe(ctx, q, target, entered, result)
		switch result := result.(type) {
		case completed:
			d.forgetStream(q)
			return d.finishAnswer(ctx, q, out)
		case callerGone:
			return d.unreadRefusal(ctx, q, result.err)
		case withheld:
			// Nothing has reached the target, so the next attempt is not a retry.
			q.recordWithheld(target.Incarnation())
		case declined:
			q.declines++
			if !d.takeRetry(q) {
				return d.finalRefusal(ctx, q, d.declinedRefusal(q, result.err))
			}
		case lost:
			q.sent++
			q.lostErr = result.err
			if ctx.Err() != nil || result.final || !result.retryTaken && (!d.repeatable(q, out) || !d.takeRetry(q)) {
				return d.finalRefusal(ctx, q, &Refusal{Status: http.StatusBadGateway, Cause: CauseLost, Err: result.err})
			}
		}
	}
}

// acquire waits for an assignment to a target. It then checks again the configuration that the request was admitted
// under.
func (d *delivery) acquire(ctx context.Context, q *request) (schedule.Assignment, *Refusal) {
	ctx, span := d.Tracer.Start(ctx, "entry.place")
	defer span.End()
	assignment, refused, err := d.scheduler.Acquire(ctx, schedule.Request{Service: q.service, Job: planner.Job{
		Account: q.accountName(), Tier: q.tier(),
		Prompt: q.Prompt, Events: d.admission.estimateEvents(q), MaxEventGap: q.route.EventGap,
		Arrived: q.arrived, SinceFirstTry: q.sinceFirstTry, Objective: q.route.Objective, Deadline: q.deadline, Patience: q.patience(),
		Retried: q.returned(), Movable: d.movable(q), Exclude: d.excluded(q),
		Route: ids.Route(q.route.Name), Version: q.version(), BeginsStream: q.beginsStream(),
	}})
	now := d.Clock.Now()
	switch {
	case errors.Is(err, errNotNeeded):
		return nil, &Refusal{Cause: CauseNone}
	case err != nil:
		q.addToTrail(now, "no assignment before the deadline", "")
		return nil, &Refusal{Status: http.StatusGatewayTimeout, Cause: CauseDeadline}
	case refused != nil && refused.Overloaded:
		q.addToTrail(now, fmt.Sprintf("refused: %d ahead, a wait of %d ms", refused.Ahead, refused.Wait), "")
		return nil, notRun(CauseOverloaded, refused.RetryAfter)
	case refused != nil && refused.BackedOff:
		q.addToTrail(now, fmt.Sprintf("all targets ask this entry to back off, the first for %d ms more", refused.Wait), "")
		return nil, notRun(CauseResting, refused.RetryAfter)
	case refused != nil:
		return nil, d.noTargetRefusal(q, refused.RetryAfter)
	}
	q.addToTrail(now, "placed on", assignment.Target().ID)
	if callerDisconnected(ctx) {
		assignment.Done(planner.Abandoned, planner.StreamStats{})
		return nil, &Refusal{Cause: CauseLeft, Err: errCallerDisconnected}
	}
	if refusal := d.recheck(q, assignment); refusal != nil {
		q.addToTrail(now, "not sent after a recheck: "+refusal.Cause.String(), "")
		assignment.Done(planner.Abandoned, planner.StreamStats{})
		return nil, refusal
	}
	return assignment, nil
}

// recheck looks up the route, the key and the limits of a drain again before a request is sent. It puts the route,
// service and account in force into the request, and returns nil if the request may be sent.
func (d *delivery) recheck(q *request, assignment schedule.Assignment) *Refusal {
	account := q.account
	if refusal := d.admission.resolve(q); refusal != nil {
		// It was allowed when it arrived, so the caller may come back and be checked again.
		return notRun(refusal.Cause, retryDelay)
	}
	if account != nil && q.account == nil || !q.route.LeadsTo(assignment.Target().Service) {
		return notRun(CauseNoRoute, retryDelay)
	}
	if q.origin != nil && !q.origin.CertainBy(d.admission.view.Directory()) {
		return d.cannotGoOn(q, notRun(CauseOriginUnknown, 0))
	}
	if q.origin != nil && d.ended.has(d.Clock.Now(), assignment.Target().Incarnation()) {
		return notRun(CauseNoTarget, retryDelay)
	}
	if q.beginsStream() && !d.origins.MayBegin(q.route.Name, q.service) {
		return notRun(CauseRouteMoved, retryDelay)
	}
	if !q.fits(assignment.Target()) {
		d.Check.Verify(false, invariant.StreamVersion, "request %s assigned to target %s", q.ID, assignment.Target().ID)
		return notRun(CauseNoTarget, retryDelay)
	}
	if q.sent > 0 && !d.mayRepeat(q) {
		return notRun(CauseNoRoute, retryDelay)
	}
	now := d.Clock.Now()
	if now >= q.deadline {
		// The VM was suspended, and with it the timer of the deadline.
		return notRun(CauseDeadline, retryDelay)
	}
	if !d.admission.drain.maySend(now, q.deadline, q.route) {
		return notRun(CauseLeaving, d.admission.drain.retryAfter(now))
	}
	return nil
}

// repeatable reports whether a request that may have run may be sent again, given what the caller has received: an
// answer that has begun can only go on if the route's streams may be resumed.
func (d *delivery) repeatable(q *request, out *answerWriter) bool {
	if !d.mayRepeat(q) {
		return false
	}
	return !out.started || q.route.Resumable && !d.Ablation.Off(ablation.Resumption)
}

// mayRepeat reports whether the route in force allows one more target for a request that may have run, once all its
// exchanges are counted in sent.
func (d *delivery) mayRepeat(q *request) bool {
	return q.route.Idempotent() && q.sent < q.route.Attempts
}

// movable reports whether a request could be sent to one more target after it may have run at the present one, which is
// not counted in sent yet.
func (d *delivery) movable(q *request) bool {
	return q.route.Idempotent() && q.sent+1 < q.route.Attempts
}

// takeRetry reports whether one more exchange is possible and within the limits, and if so takes it from the retry
// budget. It asks the drain, as recheck does, so that no caller waits in vain for an assignment.
func (d *delivery) takeRetry(q *request) bool {
	now := d.Clock.Now()
	if q.sends >= maxSends || q.deadline-now < minRemaining || d.Ablation.Off(ablation.Retries) {
		return false
	}
	if !d.admission.drain.maySend(now, q.deadline, q.route) {
		q.addToTrail(now, "not sent again, as this entry ends", "")
		return false
	}
	return d.hasUntriedTarget(q) && d.retries.TakeRetry(now, q.service, d.entries.Share())
}

// hasUntriedTarget reports whether there is a target that may get the request, by its version too, and did not get it in
// its present incarnation.
func (d *delivery) hasUntriedTarget(q *request) bool {
	for _, t := range d.serving(q) {
		if !slices.Contains(q.tried, t.Incarnation()) && !d.advice.Status(t.Incarnation()).Blocks() {
			return true
		}
	}
	return false
}

// declinedRefusal returns the refusal of a request that no target has run and that is not sent again.
func (d *delivery) declinedRefusal(q *request, err error) *Refusal {
	now := d.Clock.Now()
	if !d.admission.drain.maySend(now, q.deadline, q.route) {
		return &Refusal{Status: http.StatusServiceUnavailable, Cause: CauseLeaving, RetryAfter: d.admission.drain.retryAfter(now), Err: err}
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Cause: CauseDeclined, RetryAfter: d.retryAfterDeclined(q), Err: err}
}

// retryAfterDeclined returns the Retry-After of a request that targets have declined.
func (d *delivery) retryAfterDeclined(q *request) clock.Millis {
	rest := d.advice.ShortestBackoff(d.serving(q))
	return max(declinedRetryAfter, planner.AfterBackoff(rest, d.Random.Fork().Float64()))
}

// callerGoneRefusal returns the refusal of a request whose caller can't be written to: it has left, unless its time is
// over.
func (d *delivery) callerGoneRefusal(q *request, err error) *Refusal {
	if d.callerTimeOver(q) {
		return &Refusal{Status: http.StatusGatewayTimeout, Cause: CauseDeadline, Err: err}
	}
	return &Refusal{Cause: CauseLeft, Err: err}
}

const (
	// callerLead is how much earlier than this entry a caller may begin to count its time, as the connection has to be
	// made and the request to arrive. It is at most 1/callerLeadDivisor of the caller's time, so that a caller with little
	// time can still be seen to leave early.
	callerLead        = 100 * clock.Millisecond
	callerLeadDivisor = 20
)

// callerTimeOver reports whether a caller that closes its connection now does so because its time is over. Without this
// it would be chance whether the caller's close or this entry's timer is seen first.
func (d *delivery) callerTimeOver(q *request) bool {
	lead := min(callerLead, q.Deadline/callerLeadDivisor)
	return q.Deadline > 0 && d.Clock.Now() >= q.arrived+q.Deadline-lead
}

// finalRefusal returns the refusal that the caller gets, given how far the request got. A request that may have run is
// not refused as one that has not.
func (d *delivery) finalRefusal(ctx context.Context, q *request, refusal *Refusal) *Refusal {
	ended := ctx.Err() != nil
	switch {
	case errors.Is(context.Cause(ctx), errEnded) && q.sent > 0:
		return &Refusal{Status: http.StatusBadGateway, Cause: CauseLeaving, Err: refusal.Err}
	case errors.Is(context.Cause(ctx), errEnded):
		return notRun(CauseLeaving, d.admission.drain.retryAfter(d.Clock.Now()))
	case refusal.Cause == CauseLeft:
		return d.callerGoneRefusal(q, refusal.Err)
	case callerHasLeft(ctx) && !d.callerTimeOver(q):
		return &Refusal{Cause: CauseLeft, Err: refusal.Err}
	case ended && q.sent > 0:
		return &Refusal{Status: http.StatusGatewayTimeout, Cause: CauseDeadline, Err: refusal.Err}
	case ended:
		return notRun(CauseDeadline, retryDelay)
	case q.sent > 0:
		return &Refusal{Status: http.StatusBadGateway, Cause: CauseLost, Err: refusal.Err}
	default:
		return refusal
	}
}
