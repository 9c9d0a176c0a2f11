package ingress

import (
	"context"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/eventstream"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/quarantine"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
	"quaydock/pkg/telemetry"
)

// enter takes a permit of the quarantine and an assignment. A permit costs nothing while no target has ended under a
// request of the account, and a permit that was not used yet stays valid. The permit is taken first: what acquire
// checks must still hold when the request is sent, and the request may have to wait for an exclusive run.
func (d *delivery) enter(ctx context.Context, q *request, permit *quarantine.Permit) (schedule.Assignment, *quarantine.Permit, *Refusal) {
	for {
		var refusal *Refusal
		if permit, refusal = d.permit(ctx, q, permit); refusal != nil {
			return nil, nil, refusal
		}
		assignment, refusal := d.acquire(ctx, q)
		if refusal != nil {
			permit.Release(false) // false: there was no run
			return nil, nil, refusal
		}
		if d.permitted(q, permit) {
			q.start = d.startOf(q)
			return assignment, permit, nil
		}
		// Targets have ended under the request while it waited for the assignment.
		assignment.Done(planner.Abandoned, planner.StreamStats{})
		permit.Release(false) // false: there was no run
		permit = nil
	}
}

// permit returns the permit to run a request, nil if it needs none. It keeps a permit that is held already, and may
// wait for an exclusive run otherwise.
func (d *delivery) permit(ctx context.Context, q *request, permit *quarantine.Permit) (*quarantine.Permit, *Refusal) {
	if permit != nil || !d.concerned(q) {
		return permit, nil
	}
	permit, refused := d.guard.Enter(ctx, d.suspects(q))
	if refused != nil {
		what := "quarantined, as targets have ended under it"
		if refused.Part != nil {
			what = "quarantined, as targets have ended under part " + refused.Part.String() + " of its prompt"
		}
		q.addToTrail(d.Clock.Now(), what, "")
		return nil, quarantinedRefusal(refused)
	}
	return permit, nil
}

// permitted reports whether a request may still run with the permit that was taken for it, nil if it needed none:
// targets may have ended under it since.
func (d *delivery) permitted(q *request, permit *quarantine.Permit) bool {
	return !d.concerned(q) || d.guard.Allows(d.suspects(q), permit)
}

// suspects returns the request as the quarantine identifies it, without a digest if nothing is recorded against requests of
// its account: that takes time.
func (d *delivery) suspects(q *request) quarantine.Request {
	if d.guard.HasRecord(q.accountName()) {
		return q.quarantineRequest()
	}
	return q.promptRequest()
}

// startOf returns what is known against the parts of a request that is sent now.
func (d *delivery) startOf(q *request) quarantine.Start {
	if len(q.PromptParts) < 2 || !d.guard.HasParts() {
		return quarantine.Start{}
	}
	return d.guard.Start(q.promptRequest())
}

// concerned reports whether anything may be known against a request.
func (d *delivery) concerned(q *request) bool {
	return d.guard.Concerns(q.accountName(), len(q.PromptParts) > 1)
}

// quarantinedRefusal refuses a request under which targets have ended. Its Retry-After is when the request may run once
// more, even if it may never run: no other answer tells the caller that it has not run.
func quarantinedRefusal(r *quarantine.Refused) *Refusal {
	if r.Held {
		return notRun(CauseHeldBack, r.RetryAfter)
	}
	return notRun(CauseNoTurn, r.RetryAfter)
}

// quarantineRequest returns the request as the quarantine identifies it.
func (r *request) quarantineRequest() quarantine.Request {
	q := r.promptRequest()
	q.Digest = r.requestDigest()
	return q
}

// promptRequest is quarantineRequest without the digest.
func (r *request) promptRequest() quarantine.Request {
	return quarantine.Request{Account: r.accountName(), Route: ids.Route(r.route.Name), Service: r.service, Parts: r.sharedParts()}
}

// observe reports the outcome of a run to the quarantine, and releases its permit. If there was no run, it returns the
// permit for the next attempt instead.
func (d *delivery) observe(ctx context.Context, q *request, target *routing.Target, permit *quarantine.Permit, result attempt) *quarantine.Permit {
	switch result := result.(type) {
	case declined, withheld:
		return permit
	case completed:
		if d.guard.HasRecord(q.accountName()) {
			d.guard.Succeeded(q.quarantineRequest())
		}
		if result.success {
			d.survived(q)
		}
	case lost:
		if run := d.possibleEnd(ctx, q, target, permit); run != nil && !result.answered && d.checkEnded(ctx, run) {
			q.endedTargets = append(q.endedTargets, target.ID)
		}
	case handedOver:
		if run := d.possibleEnd(ctx, q, target, permit); run != nil {
			go d.checkEnded(ctx, run) // not awaited, so that the other target's answer is not delayed
		}
	case callerGone: // says nothing of the target's process
	}
	permit.Release(true) // true: there was a run
	return nil
}

// survivalTime is for how long events must have come for the target to have survived the beginning of an answer.
const survivalTime = 250 * clock.Millisecond

// recordProgress records an event of the present target, and tells the quarantine once events have come for survivalTime.
// Comments say nothing: a target may send them before it begins to answer.
func (d *delivery) recordProgress(q *request, e eventstream.Event, now clock.Millis) {
	switch {
	case !e.HasFields || q.survived:
	case q.beganAt == 0:
		q.beganAt = now
	case now-q.beganAt >= survivalTime:
		q.survived = true
		d.survived(q)
	}
}

// survived tells the quarantine that the present target has not ended when it began to answer the request.
func (d *delivery) survived(q *request) {
	if !q.start.None() {
		d.guard.Survived(q.promptRequest(), q.start)
	}
}

// brokenRun is a run that its target broke off.
type brokenRun struct {
	quarantine.Run
	id     string // of the request
	target *routing.Target
	began  clock.Millis // when the request was sent to the target
	// answered is for how long events had come when the run broke off, -1 if none had.
	answered clock.Millis
}

// possibleEnd returns the run that a target broke off, nil if the break is no evidence against the request.
func (d *delivery) possibleEnd(ctx context.Context, q *request, target *routing.Target, permit *quarantine.Permit) *brokenRun {
	if ctx.Err() != nil {
		return nil // this entry ended the exchange
	}
	if listed := d.admission.view.Directory().Target(target.ID); listed != nil && listed.Leaving || d.advice.Status(target.Incarnation()).Leaving {
		return nil // the target was going to end anyway
	}
	run := quarantine.Run{
		Request: q.quarantineRequest(), Incarnation: target.Incarnation(), Again: permit != nil && permit.Again,
		Start: q.start, Survived: q.survived,
	}
	broken := &brokenRun{Run: run, id: q.ID, target: target, began: q.placedAt, answered: -1}
	if q.beganAt > 0 {
		broken.answered = d.Clock.Now() - q.beganAt
	}
	return broken
}

// checkEnded returns whether a target broke off because its process has ended, and reports that to the quarantine. A
// reset connection or a truncated answer alone does not show it, so the target is probed, and counts as running if it
// does not answer in time.
func (d *delivery) checkEnded(ctx context.Context, run *brokenRun) bool {
	if !d.pool.Ended(ctx, run.target) {
		d.guard.RecordPossibleEnd(run.Run)
		return false
	}
	d.recordTargetEnd(run.target)
	d.Log.WithFields(logrus.Fields{
		telemetry.FieldRequest: run.id, "digest": run.Digest.String(), "account": string(run.Account), "route": string(run.Route),
		"target": string(run.target.ID), "start": int64(run.target.Start), "running_ms": int64(d.Clock.Now() - run.began), "again": run.Again,
		"answered_ms": int64(run.answered), "prompt_parts": run.Parts, "ranks": run.Start.String(),
	}).Info("a target has ended while it ran a request")
	d.guard.RecordTargetEnd(run.Run)
	return true
}
