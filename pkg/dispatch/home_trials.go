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
	// evidenceEvery is how often the evidence of a trial is written to the store, for a home
	// that takes over, which knows no more of a version on trial than was written.
	evidenceEvery = 2 * clock.Second
	// recordTime bounds a call to the store, and recordPause is between two of them, long
	// enough for what was written by another to be read.
	recordTime  = 600 * clock.Millisecond
	recordPause = 200 * clock.Millisecond
)

// recordWriter writes the record of one service's roll-out, one call at a time.
type recordWriter struct {
	busy  bool
	next  clock.Millis // not before
	noted clock.Millis // when the evidence was last written
	// last is the newest revision of the record that is known here.
	last rollout.Revision
}

// takeUpOrders begins to plan for services of which there is an order but no request yet; the
// lock is held.
func (h *Owner) takeUpOrders(now clock.Millis) {
	if h.rollouts == nil {
		return
	}
	for _, service := range h.rollouts.Tracker.Services() {
		if _, _, open := h.rollouts.Tracker.OpenOrder(service); open && h.groups[service] == nil {
			h.planning(now, service)
		}
	}
}

// stepTrial takes the next step of a service's roll-out; the lock is held.
func (h *Owner) stepTrial(ctx context.Context, now clock.Millis, service ids.Service, g *hosted) {
	if h.rollouts == nil {
		return
	}
	order, record, open := h.rollouts.Tracker.OpenOrder(service)
	if !open {
		if g.trial != nil {
			h.Log.WithFields(rolloutFields(&record)).Info("roll-out ended")
		}
		g.trial, g.planned = nil, rollout.Plan{}
		opens, _ := h.rollouts.Tracker.OpensAt(service, h.id, now)
		g.planner.SetTrial(planner.Trial{OpensAt: opens}, false)
		return
	}
	if g.trial == nil || g.trial.Order.Placed != order.Placed || g.trial.Order.Withdrawn() != order.Withdrawn() {
		h.takeUp(now, g, order, &record)
	}
	h.hear(g, &record)
	for _, o := range g.planner.Observations() {
		g.trial.Evidence.Add(o.Trial, rollout.Observation{At: now, Incarnation: o.Incarnation, Route: o.Route, Failed: o.Failed, Ratio: o.Ratio, Factor: o.Factor, Loaded: o.Loaded})
	}
	if h.rollouts.Excused != nil {
		g.trial.Evidence.Excuse(h.rollouts.Excused())
	}
	plan := g.trial.Step(h.situation(now, g, record))
	if plan.Fraction != g.planned.Fraction || plan.Write != g.planned.Write {
		h.Log.WithFields(rolloutFields(&record)).WithFields(logrus.Fields{
			"share": plan.Fraction, "write": plan.Write.String(), "why": plan.Why, "news_age_ms": int64(h.rollouts.Tracker.Age(now)),
		}).Info("roll-out: next step")
	}
	g.planned = plan
	g.planner.SetTrial(planner.Trial{Fraction: plan.Fraction, UnrepeatableUntil: plan.UnrepeatableUntil, NoUnrepeatable: plan.NoUnrepeatable}, true)
	h.write(ctx, now, g, record)
}

// hear takes the evidence of a record that is new here. What this home wrote itself it knows,
// whether the store's answer or the row came first, or only the row did.
func (h *Owner) hear(g *hosted, record *rollout.Record) {
	if record.State != rollout.Running || record.Written <= g.writer.last {
		return
	}
	g.writer.last = record.Written
	if record.Owner == h.id {
		g.trial.SummarySaved(record.Evidence)
		return
	}
	g.trial.MergeSummary(record.Evidence)
}

// closed reports whether a completed version of a service does not get all requests yet.
func (h *Owner) closed(now clock.Millis, service ids.Service) bool {
	if h.rollouts == nil {
		return false
	}
	_, closed := h.rollouts.Tracker.OpensAt(service, h.id, now)
	return closed
}

// onTrial returns targets as if their version were on trial.
func onTrial(targets []*routing.Target) []*routing.Target {
	list := make([]*routing.Target, 0, len(targets))
	for _, t := range targets {
		copied := *t
		copied.Admission = routing.OnTrial
		list = append(list, &copied)
	}
	return list
}

// takeUp begins the trial of an order at this home, with what an earlier one has noted.
func (h *Owner) takeUp(now clock.Millis, g *hosted, order rollout.Order, record *rollout.Record) {
	book := h.rollouts.Tracker
	times := book.Times(order, *record)
	g.writer.last = record.Written
	g.trial = rollout.NewTrial(order, h.rollouts.Bounds(), record.Evidence, now, times)
	h.Log.WithFields(rolloutFields(record)).WithFields(logrus.Fields{
		"started_ms_ago": int64(now - times.Started), "ends_in_ms": int64(times.EarliestEnd - now), "over_in_ms": int64(times.LatestEnd - now), "withdrawn": order.Withdrawn(),
	}).Info("roll-out taken up")
}

// situation gathers what the next step depends on.
func (h *Owner) situation(now clock.Millis, g *hosted, record rollout.Record) rollout.Situation {
	onTrial, others := g.planner.TrialTargets()
	return rollout.Situation{
		Now: now, Record: record, Targets: onTrial, Old: others, Factors: g.planner.Factors,
		Fresh:        h.rollouts.Tracker.Age(now) <= h.rollouts.Bounds().Grace(),
		Unrepeatable: g.planner.Unrepeatable(), Agreement: h.members.Agreement(),
		Established: onTrial == 0 && runsOnly(g.directory.Serving(record.Service), record.Version) && h.rollouts.Tracker.Established(record.Service, record.Version),
	}
}

// runsOnly reports whether targets all run one version.
func runsOnly(targets []*routing.Target, version ids.Version) bool {
	for _, t := range targets {
		if t.Version != version {
			return false
		}
	}
	return len(targets) > 0
}

// write writes the state that a trial wants, or its evidence now and then.
func (h *Owner) write(ctx context.Context, now clock.Millis, g *hosted, record rollout.Record) {
	state := g.planned.Write
	if state == rollout.Pending && record.State == rollout.Running && now-g.writer.noted >= evidenceEvery {
		state = rollout.Running
	}
	if state == rollout.Pending || g.writer.busy || now < g.writer.next {
		return
	}
	g.writer.busy = true
	g.writer.noted = now
	next := g.trial.Record(record, state, g.planned.Why, h.rollouts.Tracker.StoreTime)
	next.Owner = h.id
	if record.State == rollout.Pending {
		next.TimedByOwner = h.id
	}
	go h.writeRecord(ctx, g, next, record.State != state)
}

// writeRecord makes one call to the store. If its outcome is unknown, what the store's table
// shows later settles it.
func (h *Owner) writeRecord(ctx context.Context, g *hosted, r rollout.Record, news bool) {
	limited, cancel := context.WithTimeout(ctx, recordTime.Duration())
	defer cancel()
	began := time.Now()
	written, err := h.rollouts.Store.Write(limited, r)
	switch {
	case err == nil:
		r.Written = written
		h.rollouts.Tracker.PutRecords([]rollout.Record{r}, rollout.Freshness{})
		h.rollouts.Changed()
	case errors.Is(err, rollout.ErrOvertaken):
		h.Log.WithError(err).WithFields(rolloutFields(&r)).Info("roll-out: another entry has written")
	default:
		h.Log.WithError(err).WithFields(rolloutFields(&r)).Warn("roll-out: not known to be written")
	}
	if news && err == nil {
		h.Metrics.Prometheus.Add("rollouts", "state", r.State.String())
		h.Log.WithFields(rolloutFields(&r)).WithField("took_ms", time.Since(began).Milliseconds()).Info("roll-out: state written")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	g.writer.busy = false
	g.writer.next = h.Clock.Now() + recordPause
}

// describe adds to a report what is known here as the home of its service.
func (h *Owner) describe(r *rollout.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.groups[r.Service]; g != nil && g.trial != nil {
		g.trial.Describe(r, g.planned)
	}
}

// rolloutFields are what is logged of a roll-out's record.
func rolloutFields(r *rollout.Record) logrus.Fields {
	return logrus.Fields{
		"service": string(r.Service), "version": string(r.Version), "state": r.State.String(), "why": r.Why,
		"requests": r.Evidence.Requests, "bad": r.Evidence.Bad, "targets": r.Evidence.Targets, "suspect": r.Evidence.WorseTargets,
	}
}
