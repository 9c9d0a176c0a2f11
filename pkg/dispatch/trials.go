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

// Rollouts is what roll-outs of versions need.
type Rollouts struct {
	Tracker *rollout.Tracker
	// Bounds returns those in force.
	Bounds func() rollout.Bounds
	Store  RolloutStore
	// Changed is called when this entry has written a record.
	Changed func()
	// Excused lists lives of targets that ended under requests that end targets of any version; nil
	// if that is not known.
	Excused func() []ids.TargetIncarnation
}

// RolloutStore writes what has been decided of roll-outs.
type RolloutStore interface {
	// Write replaces a service's record, if it is still the one that was written at the
	// record's revision, and tells the operators. It returns the new revision. An error other than
	// rollout.ErrOvertaken says nothing of whether it was done.
	Write(ctx context.Context, r rollout.Record) (rollout.Revision, error)
}

// trials is an entry's part in roll-outs: which of its requests may go to a version on
// trial.
type trials struct {
	common.Common
	rollouts *Rollouts
	members  *membership.Members
	exposure *rollout.Exposure
}

func newTrials(c common.Common, rollouts *Rollouts, members *membership.Members) *trials {
	return &trials{Common: c, rollouts: rollouts, members: members, exposure: rollout.NewExposure()}
}

// rolloutMatter is that by which entries are put in order for the parts of the slack.
func rolloutMatter(service ids.Service) string { return "rollout/" + string(service) }

// ask sets a request aside for the version on trial of its service, if the entry's part of
// what that may get has room. give takes it back, send uses it.
func (t *trials) ask(p *pending) {
	service := p.want.Service
	if t.rollouts == nil || !t.open(service) || !t.fresh() {
		return
	}
	p.trial = t.exposure.Reserve(service, t.rollouts.Bounds())
}

// open opens or closes the account of a service's order; it reports whether there is one.
func (t *trials) open(service ids.Service) bool {
	order, record, open := t.rollouts.Tracker.OpenOrder(service)
	if !open || order.Withdrawn() {
		t.exposure.End(service)
		return false
	}
	if t.exposure.Placed(service) != order.Placed {
		t.exposure.Begin(order, t.credit(order))
	}
	return record.State == rollout.Running
}

// credit is this entry's part of the slack. One that does not know the others would take itself
// for the first of all, as each of them would.
func (t *trials) credit(order rollout.Order) int {
	entries, known := t.members.Entries()
	if !known || !t.rollouts.Tracker.FollowedBefore(order) {
		return 0
	}
	_, nth := t.members.FeedReaderRank(rolloutMatter(order.Service))
	return rollout.SlackCredit(t.rollouts.Bounds(), nth, entries)
}

// fresh reports whether this entry would have heard of a verdict.
func (t *trials) fresh() bool {
	return t.rollouts.Tracker.Age(t.Clock.Now()) <= t.rollouts.Bounds().Grace()
}

func (t *trials) give(p *pending) {
	if p.trial {
		p.trial = false
		t.exposure.Release(p.want.Service)
	}
}

// send uses what was set aside for a request that is to go to a target on trial.
func (t *trials) send(p *pending, target *routing.Target) bool {
	if !p.trial || !t.fresh() || !t.exposure.Commit(target.Service, target.Version) {
		return false
	}
	p.trial = false
	t.Metrics.Prometheus.Add("trial_requests", "version", string(target.Version))
	return true
}

// Rollouts reports what this entry knows of roll-outs, by service.
func (d *Dispatcher) Rollouts() []rollout.Report {
	if d.trials.rollouts == nil {
		return nil
	}
	book := d.trials.rollouts.Tracker
	now := d.Clock.Now()
	var reports []rollout.Report
	for _, service := range book.Services() {
		r, known := book.Report(now, service)
		if !known {
			continue
		}
		r.Reached, r.Sent = d.trials.exposure.Counts(service)
		d.home.describe(&r)
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b rollout.Report) int { return cmp.Compare(a.Service, b.Service) })
	return reports
}

// order is the order during which a request is sent, 0 if there is none.
func (t *trials) order(service ids.Service) rollout.Revision {
	if t.rollouts == nil {
		return 0
	}
	t.open(service)
	return t.exposure.Placed(service)
}

// reached counts a request that has reached its service.
func (t *trials) reached(p *place) {
	if p.order > 0 {
		t.exposure.Reached(p.want.Service, p.order)
	}
}
