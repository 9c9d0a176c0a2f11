package rollout

import (
	"fmt"

	"quaydock/pkg/clock"
)

// Trial decides on one order, at the owner of its service. Two entries may be owner for a moment: what each sends is
// limited by the entries, and the store accepts only one of their decisions. A trial has no lock: the owner calls it
// under its own.
type Trial struct {
	Order    Order
	Evidence *Evidence
	bounds   Bounds
	began    clock.Millis // when this owner started the trial
	times    Times        // of the order
	// recorded is the evidence of the store's record as this owner first read, last wrote or last merged it.
	// MergeSummary adds only what a newer record has beyond it, so that nothing counts twice.
	recorded       Summary
	verdict        State // RolledBack from that decision on, with its reason in why; Pending before
	why            string
	evaluatedAt    clock.Millis // last evaluation, which set the fields below
	finding        Finding      // from all evidence
	latencyFinding Finding      // about the speed of the new targets only
	objection      string       // what counts against completing the roll-out; empty before closeAt
}

const (
	// observeFraction is the fraction of the limit, usedLimitFraction of Bounds.Fraction, that is used while the canary
	// is observed. The rest is left for the end, when the old version's targets are drained.
	observeFraction = 0.65
	// evaluationInterval is how often the evidence is evaluated.
	evaluationInterval = 250 * clock.Millisecond
	// writeMarginFraction is the fraction of an order's time that is reserved for writing the final state, between
	// minWriteMargin and maxWriteMargin. It is as short as the store allows, since a version may turn bad late, and
	// since callers wait from then on until the order's time is over.
	writeMarginFraction = 0.01
	minWriteMargin      = 150 * clock.Millisecond
	maxWriteMargin      = 500 * clock.Millisecond
	// maxEndUncertainty limits how long callers may have to wait because it is not known exactly when an order's time
	// is over.
	maxEndUncertainty = clock.Second
	// closeFraction is the fraction of an order's time, at most maxCloseTime, in which no unrepeatable request starts
	// on the old version any more; it ends where the write margin begins. drainFraction, at most maxDrainTime, is the
	// time before that, in which only unrepeatable requests that will certainly end within it are started there.
	closeFraction = 0.08
	maxCloseTime  = 2500 * clock.Millisecond
	drainFraction = 0.15
	maxDrainTime  = 5 * clock.Second
	// maxOvertime is how long after its time an order may still be completed if only requests running on the old
	// version are outstanding: the longest time of a route.
	maxOvertime = 15 * clock.Second
	// minRequests is the number of canary answers that are required if the old version gave ten times as many; with
	// fewer, a tenth of them is, but at least one. minRouteRequests are required on each route on which the old version
	// gave oldRouteRequests or more.
	minRequests      = 20
	minRouteRequests = 8
	// extraPerBadRate is the number of canary answers that a route needs beyond minRouteRequests if all answers of the
	// old version are bad there; with a lower bad rate it needs that fraction of them.
	extraPerBadRate = 40
	// oldRouteRequests is the number of the old version's answers on a route since the order from which on the canary
	// must have answered some as well.
	oldRouteRequests = 60
	// oldLoadedAnswers and oldLoadedFraction are the number and the fraction of the old version's answers that must
	// come from loaded targets for minLoadedAnswers to be required of the canary: calls of some ms never fill a target
	// that gets a few of them a second.
	oldLoadedAnswers  = 60
	oldLoadedFraction = 0.2
	minLoadedAnswers  = 8
	// minOwnAnswers is the number of canary answers that an owner must have seen itself, or a tenth of the old
	// version's if that is less: the version may have turned bad since the evidence was handed over.
	minOwnAnswers = 10
	// earlyCheckFrom and earlyCheckTo are the numbers of canary answers, those of earlier owners included, between
	// which a possible slowdown already ends a trial.
	earlyCheckFrom, earlyCheckTo = 35, 60
	// minAgreement is the fraction of the entries that must take this one for the owner when it completes a roll-out:
	// more than half, so that it has received most of the evidence.
	minAgreement = 0.5
	// settleTime is how long after the start of its trial a new owner may not know of everything that runs.
	settleTime = clock.Second
)

// Times are the moments of an order, by this process's clock: the earliest start, and the earliest and the latest end.
// The order was written between two reads, so that its exact start is not known.
type Times struct{ Started, EarliestEnd, LatestEnd clock.Millis }

// end returns when an order is taken to end: at its earliest end, unless that is so uncertain that callers would have
// to wait for long between completion and LatestEnd.
func (t Times) end() clock.Millis {
	if t.LatestEnd-t.EarliestEnd > maxEndUncertainty {
		return t.LatestEnd
	}
	return t.EarliestEnd
}

// NewTrial returns the trial of an order that this owner starts now, with the evidence that an earlier owner had
// collected.
func NewTrial(o Order, b Bounds, inherited Summary, now clock.Millis, times Times) *Trial {
	return &Trial{Order: o, Evidence: NewEvidence(inherited), bounds: b, began: now, times: times, recorded: inherited}
}

// Situation is the input of a trial's next step.
type Situation struct {
	Now clock.Millis
	// Record is the newest known record of the service, Pending if there is none of this order.
	Record Record
	// Fresh says that orders and records were last known to be current at most Bounds.Grace ago.
	Fresh bool
	// KnownFactors returns the known factors of the old version's targets: how much slower than ordinary ones they are. It
	// is called when the evidence is evaluated, not at each step, and may be nil.
	KnownFactors func() []float64
	// CanaryTargets is the number of canary targets that may receive work, OldTargets that of other targets.
	CanaryTargets, OldTargets int
	// Unrepeatable is the number of requests running on the old version's targets that could not be re-dispatched.
	Unrepeatable int
	// Agreement is the fraction of the entries whose membership view is the same, so that they take this one for the
	// owner.
	Agreement float64
	// AlreadyInUse says that the service ran the ordered version, and no other, before the order, and that none of its
	// targets is on trial.
	AlreadyInUse bool
}

// Plan is the outcome of a step: what is to be done now.
type Plan struct {
	// Fraction is the fraction of the service's requests that go to the canary, as far as the entries' limits permit;
	// with 0 it receives nothing.
	Fraction float64
	// UnrepeatableUntil, if set, is the moment from which on the old version's targets are to run nothing that could
	// not be re-dispatched: requests that would not certainly end by then go to the canary if they may.
	UnrepeatableUntil clock.Millis
	// NoUnrepeatable says that no such request starts on the old version's targets any more.
	NoUnrepeatable bool
	// Write is the state to be written, Pending if none.
	Write State
	// Why is the reason for that state, or for not completing the roll-out yet.
	Why string
}

// Step decides what is to be done now. Once the version is to be rolled back, that stays the decision, even if its
// record could not be written at once. The caller holds the owner's lock, and carries the plan out.
func (t *Trial) Step(s Situation) Plan {
	switch {
	case s.Record.State == Pending && t.Order.Withdrawn(), s.Record.State.Final():
		return Plan{}
	case s.Record.State == Pending:
		return Plan{Write: Running, Why: "ordered"}
	case t.verdict == RolledBack:
		return Plan{Write: RolledBack, Why: t.why}
	}
	t.evaluate(s)
	if why := t.rollbackReason(s); why != "" {
		t.verdict, t.why = RolledBack, why
		return Plan{Write: RolledBack, Why: why}
	}
	if s.AlreadyInUse {
		return Plan{Write: Completed, Why: "the service runs that version already"}
	}
	return t.planPhase(s)
}

// evaluate evaluates the evidence once each evaluationInterval. What counts against completion is determined from
// closeAt on only.
func (t *Trial) evaluate(s Situation) {
	if s.Now-t.evaluatedAt >= evaluationInterval {
		t.evaluatedAt = s.Now
		t.updateFactors(s)
		t.finding = t.Evidence.Evaluate(s.Now, s.CanaryTargets)
		t.latencyFinding = t.Evidence.latency.finding()
		t.objection = ""
		if s.Now >= t.closeAt() {
			t.objection = t.completionObjection(s)
		}
	}
}

// updateFactors sets the factors of the old version's targets once those of half of them are known.
func (t *Trial) updateFactors(s Situation) {
	if s.KnownFactors == nil {
		return
	}
	if known := s.KnownFactors(); 2*len(known) >= s.OldTargets {
		t.Evidence.SetFactors(known)
	}
}

// rollbackReason returns why the version is to be rolled back now, or an empty text.
func (t *Trial) rollbackReason(s Situation) string {
	switch {
	case t.Order.Withdrawn():
		return "the order is gone"
	case t.finding.Bad:
		return t.finding.Why
	case s.AlreadyInUse:
		return ""
	case t.inEarlyCheck() && t.latencyFinding.PossiblyBad:
		return "in doubt after the first answers: " + t.latencyFinding.Why
	}
	return t.objection
}

// inEarlyCheck reports whether the first answers have just arrived. Before many more do, any possible slowdown of the
// new targets ends the trial, since a version that is slow from the start gives its fiftieth bad answer before that is
// certain.
func (t *Trial) inEarlyCheck() bool {
	n := t.Evidence.ownAnswers() + t.Evidence.inherited.Requests
	return n >= earlyCheckFrom && n < earlyCheckTo
}

// completionObjection returns what counts against completing a version that is not known to be bad, or an empty text.
func (t *Trial) completionObjection(s Situation) string {
	if t.finding.PossiblyBad {
		return "in doubt: " + t.finding.Why
	}
	sum := t.Evidence.Summary()
	if why := sum.objection(); why != "" {
		return "in doubt: " + why
	}
	// An entry that is the owner only for a moment, for instance after its VM was stalled, naturally knows too little.
	if missing := t.Missing(); len(missing) > 0 && t.settled(s) {
		return "too little is known: " + missing[0]
	}
	if s.Now >= t.times.LatestEnd+maxOvertime {
		return "its time is over"
	}
	return ""
}

// settled reports whether this owner has had time to learn what runs, and most entries agree on it.
func (t *Trial) settled(s Situation) bool {
	return s.Now >= t.began+settleTime && s.Agreement > minAgreement
}

// Missing lists, as texts for operators, the evidence that is missing for a version to be completed.
func (t *Trial) Missing() []string {
	sum := t.Evidence.Summary()
	var missing []string
	old := 0
	for _, r := range sum.Routes {
		old += r.Old
		if r.Old >= oldRouteRequests && r.Requests < requiredOnRoute(r) {
			missing = append(missing, fmt.Sprintf("route %s: %d answers of the new version, %d of the old", r.Route, r.Requests, r.Old))
		}
	}
	if e := t.Evidence; e.oldUnderLoad() && e.loaded < minLoadedAnswers {
		missing = append(missing, fmt.Sprintf("%d answers under load", e.loaded))
	}
	if own := t.Evidence.ownAnswers(); own < min(minOwnAnswers, old/minOwnAnswers) {
		missing = append(missing, fmt.Sprintf("%d answers since this entry took over", own))
	}
	const tenth = 10
	if needed := max(1, min(minRequests, old/tenth)); sum.Requests < needed {
		missing = append(missing, fmt.Sprintf("%d answers of the new version, %d needed", sum.Requests, needed))
	}
	return missing
}

// requiredOnRoute returns how many canary answers a route needs. If many answers of the old version are bad too, more
// are needed to tell the difference.
func requiredOnRoute(r RouteSummary) int {
	return minRouteRequests + int(extraPerBadRate*float64(r.OldBad)/float64(r.Old))
}

// closeAt returns when unrepeatable requests stop being started on the old version. The time from then to completeAt is
// for those that still run there.
func (t *Trial) closeAt() clock.Millis {
	return t.completeAt() - min(maxCloseTime, clock.Millis(closeFraction*float64(t.Order.Within)))
}

// completeAt returns the earliest moment at which the roll-out is completed: the write margin before its end.
func (t *Trial) completeAt() clock.Millis {
	return t.times.end() - writeMargin(t.Order.Within)
}

// writeMargin returns the time reserved for writing the final state of an order that lasts within.
func writeMargin(within clock.Millis) clock.Millis {
	return min(maxWriteMargin, max(minWriteMargin, clock.Millis(writeMarginFraction*float64(within))))
}

// drainAt returns from when on the old version starts only unrepeatable requests that will certainly end by closeAt.
func (t *Trial) drainAt() clock.Millis {
	return t.closeAt() - min(maxDrainTime, clock.Millis(drainFraction*float64(t.Order.Within)))
}

// planPhase plans the current phase of a version that is not known to be bad: observation, draining of unrepeatable
// requests from the old version, and completion.
func (t *Trial) planPhase(s Situation) Plan {
	if !s.Fresh {
		return Plan{} // an entry that can't learn of a decision sends nothing
	}
	switch {
	case s.Now < t.drainAt():
		return Plan{Fraction: observeFraction * usedLimitFraction * t.bounds.Fraction}
	case s.Now < t.closeAt():
		return Plan{Fraction: observeFraction * usedLimitFraction * t.bounds.Fraction, UnrepeatableUntil: t.closeAt()}
	case s.Now < t.completeAt() || s.Unrepeatable > 0:
		return Plan{Fraction: 1, UnrepeatableUntil: t.closeAt(), NoUnrepeatable: true}
	case s.Now < t.began+settleTime:
		return Plan{Fraction: 1, UnrepeatableUntil: t.closeAt(), NoUnrepeatable: true}
	case !t.settled(s):
		return Plan{Fraction: 1, UnrepeatableUntil: t.closeAt(), NoUnrepeatable: true, Why: "most entries do not take this one for the home"}
	}
	return Plan{Fraction: 1, UnrepeatableUntil: t.closeAt(), NoUnrepeatable: true, Write: Completed, Why: "nothing bad is known"}
}

// MergeSummary adds the evidence of a record that another owner has written meanwhile: two entries may be owner for a
// moment, and each sees a part. The caller holds the owner's lock.
func (t *Trial) MergeSummary(stored Summary) {
	t.Evidence.inherited = t.Evidence.inherited.plus(stored.plus(t.recorded, -1), 1)
	t.recorded = stored
}

// SummarySaved records that the store now holds the given evidence, written by this owner, so that MergeSummary does
// not add it again. The caller holds the owner's lock.
func (t *Trial) SummarySaved(stored Summary) { t.recorded = stored }

// NextRecord returns the record to be written for a state: before, the newest known one, with the state, its reason and
// the evidence, and in the first record of an order its times. storeTime converts moments to the store's clock. The
// caller sets the fields that name owners.
func (t *Trial) NextRecord(before Record, state State, why string, storeTime func(clock.Millis) clock.Millis) Record {
	r := before
	r.State = state
	r.Why = why
	if before.State == Pending {
		r.Started, r.EarliestEnd, r.LatestEnd = storeTime(t.times.Started), storeTime(t.times.EarliestEnd), storeTime(t.times.LatestEnd)
	}
	r.Evidence = t.Evidence.Summary()
	return r
}
