package dispatch

import (
	"cmp"
	"context"
	"slices"

	"quaydock/pkg/common"
	"quaydock/pkg/ids"
	"quaydock/pkg/membership"
	"quaydock/pkg/rollout"
	"quaydock/pkg/routing"
)

// Rollouts holds what a dispatcher needs for roll-outs of versions.
type Rollouts struct {
	Tracker *rollout.Tracker
	// Bounds returns the current bounds.
	Bounds func() rollout.Bounds
	Store  RolloutStore
	// RefreshTargets is called after this entry has written a record, so that the list of targets follows it at once.
	RefreshTargets func()
	// ExcusedIncarnations lists incarnations of targets whose ends do not count against the canary version: they ran
	// requests under which targets of any version end. It is nil if that is not known.
	ExcusedIncarnations func() []ids.TargetIncarnation
}

// RolloutStore writes the records of roll-outs.
type RolloutStore interface {
	// Write replaces a service's record if the stored one is still at the record's revision, and
	// informs the operators. It returns the new revision. After an error other than
	// rollout.ErrRecordChanged the record may or may not have been written.
	Write(ctx context.Context, r rollout.Record) (rollout.Revision, error)
}

// trials decides which of this entry's requests may go to a canary version.
type trials struct {
	common.Common
	rollouts *Rollouts // nil if the deployment does not use them
	members  *membership.Members
	exposure *rollout.Exposure // what this entry has sent to canary versions and may still send
}

func newTrials(c common.Common, rollouts *Rollouts, members *membership.Members) *trials {
	return &trials{Common: c, rollouts: rollouts, members: members, exposure: rollout.NewExposure()}
}

// rolloutShard is the shard by which entries are ranked to divide the slack of a roll-out among them.
func rolloutShard(service ids.Service) string { return "rollout/" + string(service) }

// reserve reserves a request for the canary version of its service, if this entry's share of the exposure is not used
// up. release gives the reservation back, useReservation uses it.
func (t *trials) reserve(p *pending) {
	service := p.request.Service
	if t.rollouts == nil || !t.refreshOrder(service) || !t.feedIsFresh() || !t.mayGetCanary(p) {
		return
	}
	p.trialReserved = t.exposure.Reserve(service, t.rollouts.Bounds())
}

// mayGetCanary reports whether a request may get targets of the canary version of its service.
func (t *trials) mayGetCanary(p *pending) bool {
	order, _, open := t.rollouts.Tracker.OpenOrder(p.request.Service)
	return open && (p.request.Version == nil || *p.request.Version == order.Version)
}

// refreshOrder begins or ends counting the exposure of a service's order, and reports whether its roll-out is running.
func (t *trials) refreshOrder(service ids.Service) bool {
	order, record, open := t.rollouts.Tracker.OpenOrder(service)
	if !open || order.Withdrawn() {
		t.exposure.End(service)
		return false
	}
	if t.exposure.CurrentOrder(service) != order.Placed {
		t.exposure.Begin(order, t.slackCredit(order))
	}
	return record.State == rollout.Running
}

// slackCredit returns this entry's share of the slack, in requests. It is 0 if the entry has not followed the order
// from its start, or does not know the other entries: it would take itself for the first of them, as each of the others
// would.
func (t *trials) slackCredit(order rollout.Order) int {
	entries, known := t.members.Entries()
	if !known || !t.rollouts.Tracker.ObservedFromStart(order) {
		return 0
	}
	_, nth := t.members.FeedReaderRank(rolloutShard(order.Service))
	return rollout.SlackCredit(t.rollouts.Bounds(), nth, entries)
}

// feedIsFresh reports whether this entry's copy of the roll-out records is recent enough to include any verdict.
func (t *trials) feedIsFresh() bool {
	return t.rollouts.Tracker.Age(t.Clock.Now()) <= t.rollouts.Bounds().Grace()
}

// release gives back a reservation that was not used.
func (t *trials) release(p *pending) {
	if p.trialReserved {
		p.trialReserved = false
		t.exposure.Release(p.request.Service)
	}
}

// useReservation uses the reservation of a request that goes to a canary target, and reports whether it may go there:
// false without a reservation, if this entry's copy of the records is too old, or if the version is no longer the
// canary.
func (t *trials) useReservation(p *pending, target *routing.Target) bool {
	if !p.trialReserved || !t.feedIsFresh() || !t.exposure.Commit(target.Service, target.Version) {
		return false
	}
	p.trialReserved = false
	t.Metrics.Prometheus.Add("trial_requests", "version", string(target.Version))
	return true
}

// RolloutReports returns this entry's reports on roll-outs, ordered by service.
func (d *Dispatcher) RolloutReports() []rollout.Report {
	if d.trials.rollouts == nil {
		return nil
	}
	tracker := d.trials.rollouts.Tracker
	now := d.Clock.Now()
	var reports []rollout.Report
	for _, service := range tracker.Services() {
		r, known := tracker.Report(now, service)
		if !known {
			continue
		}
		r.Reached, r.Sent = d.trials.exposure.Counts(service)
		d.owner.describe(&r)
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b rollout.Report) int { return cmp.Compare(a.Service, b.Service) })
	return reports
}

// currentOrder returns the revision of the order that is in force for a service, 0 if there is none.
func (t *trials) currentOrder(service ids.Service) rollout.Revision {
	if t.rollouts == nil {
		return 0
	}
	t.refreshOrder(service)
	return t.exposure.CurrentOrder(service)
}

// countReached counts a request that has reached its service during an order.
func (t *trials) countReached(p *assignment) {
	if p.order > 0 {
		t.exposure.CountReached(p.request.Service, p.order)
	}
}
