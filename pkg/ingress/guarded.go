package ingress

import (
	"context"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/quarantine"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
	"quaydock/pkg/telemetry"
)

// enter takes a place and the permission to run there. Without anything against a request of its
// account, the permission costs nothing. One under which the request did not run yet still holds.
// The permission comes first: what acquire checks has to hold when the request is sent, and it may
// have to wait for its turn.
func (d *delivery) enter(ctx context.Context, q *request, pass *quarantine.Permit) (schedule.Assignment, *quarantine.Permit, *Refusal) {
	for {
		var refusal *Refusal
		if pass, refusal = d.permit(ctx, q, pass); refusal != nil {
			return nil, nil, refusal
		}
		place, refusal := d.acquire(ctx, q)
		if refusal != nil {
			pass.Release(false)
			return nil, nil, refusal
		}
		if d.permitted(q, pass) {
			return place, pass, nil
		}
		// Targets have ended under it while it waited for the place.
		place.Done(planner.Abandoned, planner.StreamStats{})
		pass.Release(false)
		pass = nil
	}
}

// permit returns the permission to run a request, nil if it needs none.
func (d *delivery) permit(ctx context.Context, q *request, pass *quarantine.Permit) (*quarantine.Permit, *Refusal) {
	if pass != nil || !d.guard.HasRecord(q.accountName()) {
		return pass, nil
	}
	pass, refused := d.guard.Enter(ctx, q.suspect())
	if refused != nil {
		q.note(d.Clock.Now(), "targets have ended under it", "")
		return nil, heldBack(refused)
	}
	return pass, nil
}

// permitted reports whether a request may still run with what permit returned.
func (d *delivery) permitted(q *request, pass *quarantine.Permit) bool {
	return !d.guard.HasRecord(q.accountName()) || d.guard.Allows(q.suspect(), pass)
}

// heldBack refuses a request under which targets have ended. It is told to come back when it may run
// once more, if it ever does: there is no other answer that says that it has not run.
func heldBack(r *quarantine.Refused) *Refusal {
	if r.Held {
		return notRun(CauseHeldBack, r.RetryAfter)
	}
	return notRun(CauseNoTurn, r.RetryAfter)
}

// suspect is the request as the guard knows it.
func (r *request) suspect() quarantine.Request {
	return quarantine.Request{Digest: r.identify(), Account: r.accountName(), Route: ids.Route(r.route.Name)}
}

// observe tells the guard what a run says for or against its request, and returns the permission if
// there was no run.
func (d *delivery) observe(ctx context.Context, q *request, target *routing.Target, pass *quarantine.Permit, result attempt) *quarantine.Permit {
	switch result := result.(type) {
	case declined, withheld:
		return pass
	case completed:
		if d.guard.HasRecord(q.accountName()) {
			d.guard.Succeeded(q.suspect())
		}
	case lost:
		if run := d.suspected(ctx, q, target, pass); run != nil && !result.answered && d.ended(ctx, run) {
			q.ended = append(q.ended, target.ID)
		}
	case handedOver:
		if run := d.suspected(ctx, q, target, pass); run != nil {
			go d.ended(ctx, run) // the other target's answer is not to wait for it
		}
	case callerGone: // says nothing of the target's process
	}
	pass.Release(true)
	return nil
}

// brokenRun is a run that a target broke off.
type brokenRun struct {
	quarantine.Run
	id     string
	target *routing.Target
	began  clock.Millis
}

// suspected is a run that a target broke off, nil if that says nothing of the request.
func (d *delivery) suspected(ctx context.Context, q *request, target *routing.Target, pass *quarantine.Permit) *brokenRun {
	if ctx.Err() != nil {
		return nil // this end broke off
	}
	if listed := d.admission.view.Directory().Target(target.ID); listed != nil && listed.Leaving || d.advice.Status(target.Incarnation()).Leaving {
		return nil // it was to end
	}
	run := quarantine.Run{Request: q.suspect(), Incarnation: target.Incarnation(), Again: pass != nil && pass.Again}
	return &brokenRun{Run: run, id: q.ID, target: target, began: q.placedAt}
}

// ended finds out whether a target broke off because its process has ended, and tells the guard. A connection that
// was reset, or an answer that is cut short, says nothing of that.
func (d *delivery) ended(ctx context.Context, run *brokenRun) bool {
	if !d.pool.Ended(ctx, run.target) {
		d.guard.PossibleEnd(run.Run)
		return false
	}
	d.Log.WithFields(logrus.Fields{
		telemetry.FieldRequest: run.id, "digest": run.Digest.String(), "account": string(run.Account), "route": string(run.Route),
		"target": string(run.target.ID), "start": int64(run.target.Start), "running_ms": int64(d.Clock.Now() - run.began), "again": run.Again,
	}).Info("a target has ended while it ran a request")
	d.guard.Ended(run.Run)
	return true
}
