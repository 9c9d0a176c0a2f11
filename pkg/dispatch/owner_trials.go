package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/rollout"
	"quaydock/pkg/routing"
)

const (
	// evidenceInterval is the time between two writes of a trial's evidence to the store. An owner that takes over
	// knows no more of a canary version than what was written.
	evidenceInterval = 2 * clock.Second
	// recordTimeout limits the duration of a call to the store. recordInterval is the time between two of them, long
	// enough to read what another entry has written.
	recordTimeout  = 600 * clock.Millisecond
	recordInterval = 200 * clock.Millisecond
)

// recordWriter is the state of writing one service's roll-out record, one call at a time. The owner's lock guards it.
type recordWriter struct {
	busy       bool         // a call to the store is running
	notBefore  clock.Millis // earliest time of the next call
	evidenceAt clock.Millis // when the last write began; each one includes the evidence
	// lastRevision is the newest revision of the record that is known here.
	lastRevision rollout.Revision
}

// planForOrders starts planners for services that have a roll-out order, or a record to be written again, but no request
// yet; the caller holds the lock.
func (owner *Owner) planForOrders(now clock.Millis) {
	if owner.rollouts == nil {
		return
	}
	for _, service := range owner.rollouts.Tracker.Services() {
		if _, r, open := owner.rollouts.Tracker.OpenOrder(service); (open || r.Lost) && owner.planners[service] == nil {
			owner.plannerFor(now, service)
		}
	}
}

// stepTrial advances the roll-out of a service, or ends it here if its order is no longer open; the caller holds the
// lock.
func (owner *Owner) stepTrial(ctx context.Context, now clock.Millis, service ids.Service, g *servicePlanner) {
	if owner.rollouts == nil {
		return
	}
	order, record, open := owner.rollouts.Tracker.OpenOrder(service)
	if !open {
		if g.trial != nil {
			owner.Log.WithFields(rolloutFields(&record)).Info("roll-out ended")
		}
		g.trial, g.plan = nil, rollout.Plan{}
		opens, _ := owner.rollouts.Tracker.OpensAt(service, owner.id, now)
		g.planner.SetTrial(planner.Trial{OpensAt: opens}, false)
		owner.rewriteLost(ctx, now, g, &record)
		return
	}
	if g.trial == nil || g.trial.Order.Placed != order.Placed || g.trial.Order.Withdrawn() != order.Withdrawn() {
		owner.startTrial(now, g, order, &record)
	}
	owner.takeEvidence(g, &record)
	for _, o := range g.planner.Observations() {
		g.trial.Evidence.Add(o.Trial, rollout.Observation{At: now, Incarnation: o.Incarnation, Route: o.Route, Failed: o.Failed, Ratio: o.Ratio, Factor: o.Factor, Loaded: o.Loaded})
	}
	if owner.rollouts.ExcusedIncarnations != nil {
		g.trial.Evidence.Excuse(owner.rollouts.ExcusedIncarnations())
	}
	plan := g.trial.Step(owner.situation(now, g, record))
	if plan.Fraction != g.plan.Fraction || plan.Write != g.plan.Write {
		owner.Log.WithFields(rolloutFields(&record)).WithFields(logrus.Fields{
			"share": plan.Fraction, "write": plan.Write.String(), "why": plan.Why, "news_age_ms": int64(owner.rollouts.Tracker.Age(now)),
		}).Info("roll-out: plan changed")
	}
	g.plan = plan
	g.planner.SetTrial(planner.Trial{Fraction: plan.Fraction, UnrepeatableUntil: plan.UnrepeatableUntil, NoUnrepeatable: plan.NoUnrepeatable}, true)
	owner.writeTrialState(ctx, now, g, record)
}

// takeEvidence takes the evidence from a record revision that is new here. Evidence that this owner wrote itself is not
// added again, whether the store's answer or the row arrived first, or only the row did. The caller holds the lock.
func (owner *Owner) takeEvidence(g *servicePlanner, record *rollout.Record) {
	if record.State != rollout.Running || record.Written <= g.writer.lastRevision {
		return
	}
	g.writer.lastRevision = record.Written
	if record.Owner == owner.id {
		g.trial.SummarySaved(record.Evidence)
		return
	}
	g.trial.MergeSummary(record.Evidence)
}

// rampingUp reports whether the new version of a completed roll-out does not get all requests yet.
func (owner *Owner) rampingUp(now clock.Millis, service ids.Service) bool {
	if owner.rollouts == nil {
		return false
	}
	_, rampingUp := owner.rollouts.Tracker.OpensAt(service, owner.id, now)
	return rampingUp
}

// asOnTrial returns copies of targets that are marked as running a canary version: while the new version of a completed
// roll-out ramps up, the planner limits them like canaries.
func asOnTrial(targets []*routing.Target) []*routing.Target {
	list := make([]*routing.Target, 0, len(targets))
	for _, t := range targets {
		copied := *t
		copied.Admission = routing.OnTrial
		list = append(list, &copied)
	}
	return list
}

// startTrial begins the trial of an order at this owner, with the evidence that a former owner has written. A withdrawn
// order gets a trial too, which ends it. The caller holds the lock.
func (owner *Owner) startTrial(now clock.Millis, g *servicePlanner, order rollout.Order, record *rollout.Record) {
	tracker := owner.rollouts.Tracker
	times := tracker.Times(order, *record)
	g.writer.lastRevision = record.Written
	g.trial = rollout.NewTrial(order, owner.rollouts.Bounds(), record.Evidence, now, times)
	owner.Log.WithFields(rolloutFields(record)).WithFields(logrus.Fields{
		"started_ms_ago": int64(now - times.Started), "ends_in_ms": int64(times.EarliestEnd - now), "over_in_ms": int64(times.LatestEnd - now), "withdrawn": order.Withdrawn(),
	}).Info("this entry now runs the roll-out")
}

// situation returns the input of the next trial step, for the roll-out of the record; the caller holds the lock.
func (owner *Owner) situation(now clock.Millis, g *servicePlanner, record rollout.Record) rollout.Situation {
	onTrial, others := g.planner.TargetCounts()
	return rollout.Situation{
		Now: now, Record: record, CanaryTargets: onTrial, OldTargets: others, KnownFactors: g.planner.KnownFactors,
		Fresh:        owner.rollouts.Tracker.Age(now) <= owner.rollouts.Bounds().Grace(),
		Unrepeatable: g.planner.UnrepeatableRuns(), Agreement: owner.members.Agreement(),
		AlreadyInUse: onTrial == 0 && allRun(g.directory.Serving(record.Service), record.Version) && owner.rollouts.Tracker.AlreadyInUse(record.Service, record.Version),
	}
}

// allRun reports whether there are targets and all of them run a version.
func allRun(targets []*routing.Target, version ids.Version) bool {
	for _, t := range targets {
		if t.Version != version {
			return false
		}
	}
	return len(targets) > 0
}

// rewriteLost writes the record of a decision again that the store has lost; the caller holds the lock.
func (owner *Owner) rewriteLost(ctx context.Context, now clock.Millis, g *servicePlanner, record *rollout.Record) {
	if !record.Lost || !record.State.Final() || g.writer.busy || now < g.writer.notBefore {
		return
	}
	g.writer.busy = true
	go owner.writeRecord(ctx, g, owner.rollouts.Tracker.AtPresentClock(*record), true)
}

// writeTrialState writes the record's next state if the plan has one, or else, while the roll-out is running, the
// evidence every evidenceInterval. rollout.Pending as the state to write means none. The caller holds the lock.
func (owner *Owner) writeTrialState(ctx context.Context, now clock.Millis, g *servicePlanner, record rollout.Record) {
	state := g.plan.Write
	if state == rollout.Pending && record.State == rollout.Running && (record.Lost || now-g.writer.evidenceAt >= evidenceInterval) {
		state = rollout.Running
	}
	if state == rollout.Pending || g.writer.busy || now < g.writer.notBefore {
		return
	}
	g.writer.busy = true
	g.writer.evidenceAt = now
	next := g.trial.NextRecord(owner.rollouts.Tracker.AtPresentClock(record), state, g.plan.Why, owner.rollouts.Tracker.StoreTime)
	next.Owner = owner.id
	if record.State == rollout.Pending {
		next.TimedByOwner = owner.id
	}
	go owner.writeRecord(ctx, g, next, record.State != state)
}

// writeRecord writes a record to the store, in one call. If its outcome is unknown, the row that is read later
// shows it. The lock is only taken after the call. stateChanged says that the write is of a new state, not only of
// evidence.
func (owner *Owner) writeRecord(ctx context.Context, g *servicePlanner, r rollout.Record, stateChanged bool) {
	limited, cancel := context.WithTimeout(ctx, recordTimeout.Duration())
	defer cancel()
	began := time.Now()
	written, err := owner.rollouts.Store.Write(limited, r)
	switch {
	case err == nil:
		r.Written = written
		owner.rollouts.Tracker.PutRecords([]rollout.Record{r}, rollout.Freshness{})
		owner.rollouts.RefreshTargets()
	case errors.Is(err, rollout.ErrRecordChanged):
		owner.Log.WithError(err).WithFields(rolloutFields(&r)).Info("roll-out: record not written, another entry has written it since")
	default:
		owner.Log.WithError(err).WithFields(rolloutFields(&r)).Warn("roll-out: unknown whether the record was written")
	}
	if stateChanged && err == nil {
		owner.Metrics.Prometheus.Add("rollouts", "state", r.State.String())
		owner.Log.WithFields(rolloutFields(&r)).WithField("took_ms", time.Since(began).Milliseconds()).Info("roll-out: state written")
	}
	owner.mu.Lock()
	defer owner.mu.Unlock()
	g.writer.busy = false
	g.writer.notBefore = owner.Clock.Now() + recordInterval
}

// describe adds to a report what only the owner of its service knows; at other entries it adds nothing.
func (owner *Owner) describe(r *rollout.Report) {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	if g := owner.planners[r.Service]; g != nil && g.trial != nil {
		g.trial.Describe(r, g.plan)
	}
}

// rolloutFields returns the log fields of a roll-out's record.
func rolloutFields(r *rollout.Record) logrus.Fields {
	return logrus.Fields{
		"service": string(r.Service), "version": string(r.Version), "state": r.State.String(), "why": r.Why,
		"requests": r.Evidence.Requests, "bad": r.Evidence.Bad, "targets": r.Evidence.Targets, "suspect": r.Evidence.WorseTargets,
	}
}
