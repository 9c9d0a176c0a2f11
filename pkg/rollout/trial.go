package rollout

import (
	"fmt"

	"quaydock/pkg/clock"
)

// Trial decides on one order, at the home of its service. Two homes may do so for a moment;
// what each sends is bounded by the entries, and of their verdicts the store takes one.
type Trial struct {
	Order    Order
	Evidence *Evidence
	bounds   Bounds
	began    clock.Millis // when this home took the order up
	times    Times
	// noted is the evidence in the record, as far as it is part of what is known here.
	noted   Summary
	verdict State
	why     string
	judged  clock.Millis
	finding Finding
	slow    Finding // about the speed of the new targets only
	doubt   string  // what speaks against completing it, once that is due
}

const (
	// observePart of what the bound grants goes to the version on trial while it is observed. The
	// rest is left for the end, when the old version's targets are left first.
	observePart = 0.65
	// judgeEvery is how often the evidence is judged.
	judgeEvery = 250 * clock.Millisecond
	// writeMargin is the part of an order's time that is left for writing the final state,
	// leastMargin and mostMargin its bounds: as little as the store needs, since a version may turn
	// bad late, and callers wait from then on until the order's time is over.
	writeMargin = 0.01
	leastMargin = 150 * clock.Millisecond
	mostMargin  = 500 * clock.Millisecond
	// mostUncertain is for how long callers may have to wait since it is not known when an order's
	// time is over.
	mostUncertain = clock.Second
	// closePart is the part of an order's time before that margin in which nothing that may not
	// be repeated begins on the old version any more, and mostClose the most of it; leavePart
	// and mostLeave are before that the time in which only what surely ends by then does.
	closePart = 0.08
	mostClose = 2500 * clock.Millisecond
	leavePart = 0.15
	mostLeave = 5 * clock.Second
	// lateClose is for how long after its time an order is still completed, if all that is
	// missing is the end of what runs on the old version: the longest time of a route.
	lateClose = 15 * clock.Second
	// leastRequests is how many answers of the new version are needed at the least, if the
	// service got ten times as many; leastOnRoute on each route, likewise.
	leastRequests = 20
	leastOnRoute  = 8
	// moreWhereBad is how many more where all answers of the old one are bad, in proportion.
	moreWhereBad = 40
	// enoughOnRoute is how many requests the old version has to have had on a route since the order
	// for the new one to have to have had some.
	enoughOnRoute = 60
	// enoughLoaded is how many answers of loaded targets the old version has to have had, and
	// loadedPart which part of all, for the new one to have to have had leastLoaded: calls of some ms
	// never fill a target that gets a few a second.
	enoughLoaded = 60
	loadedPart   = 0.2
	leastLoaded  = 8
	// leastOfOwn is how many answers a home has to have seen itself: badness may have begun since
	// the evidence was handed over.
	leastOfOwn = 10
	// gateFrom and gateTo are between which answers any doubt about speed ends a trial.
	gateFrom, gateTo = 35, 60
	// backed is which part of the entries has to take this one for the home when it completes:
	// more than half, so that it has heard of most of the evidence.
	backed = 0.5
	// settle is for how long a home that has taken over may not have heard of all that runs.
	settle = clock.Second
)

// Times are the moments of an order, by this process's clock: when it was placed at the
// earliest, and when its time is over at the earliest and at the latest.
type Times struct{ Started, EarliestEnd, LatestEnd clock.Millis }

// end is when an order is taken to end: as early as it may, unless it is so uncertain that
// callers would have to wait for long between the completion and Over.
func (t Times) end() clock.Millis {
	if t.LatestEnd-t.EarliestEnd > mostUncertain {
		return t.LatestEnd
	}
	return t.EarliestEnd
}

// NewTrial returns the trial of an order that this home takes up at a moment, with what an
// earlier home had gathered.
func NewTrial(o Order, b Bounds, carried Summary, now clock.Millis, times Times) *Trial {
	return &Trial{Order: o, Evidence: NewEvidence(carried), bounds: b, began: now, times: times, noted: carried}
}

// Situation is what a trial's next step depends on.
type Situation struct {
	Now clock.Millis
	// Record is the newest known of the service, Pending if there is none of this order.
	Record Record
	// Fresh says that orders and records are surely the newest, but for a moment.
	Fresh bool
	// Factors tells how much slower than ordinary ones the old version's targets are. It is asked
	// when the evidence is judged, which is not at each step; nil if nobody knows.
	Factors func() []float64
	// Targets is how many targets of the version on trial may get work, Old how many others.
	Targets, Old int
	// Unrepeatable is how many requests run on the old version's targets that could not be taken
	// up elsewhere.
	Unrepeatable int
	// Backing is the part of the entries that takes this one for the home.
	Agreement float64
	// Usual says that the service ran the ordered version, and no other, before the order.
	Established bool
}

// Plan is what a trial wants done.
type Plan struct {
	// Share is the part of the service's requests that go to the version on trial, if their
	// entries let them; 0 sends it nothing.
	Fraction float64
	// Leave, if set, is when the old version's targets are to run nothing that could not be
	// taken up elsewhere: what would not surely end by then goes to the new version, if it may.
	UnrepeatableUntil clock.Millis
	// Close says that nothing of that kind begins on them any more.
	NoUnrepeatable bool
	// Write is the state to be written, Pending if none.
	Write State
	Why   string
}

// Step decides what is to be done now.
func (t *Trial) Step(s Situation) Plan {
	switch {
	case s.Record.State == Pending && t.Order.Withdrawn(), s.Record.State.Final():
		return Plan{}
	case s.Record.State == Pending:
		return Plan{Write: Running, Why: "ordered"}
	case t.verdict == RolledBack:
		return Plan{Write: RolledBack, Why: t.why}
	}
	t.judge(s)
	if why := t.reasonAgainst(s); why != "" {
		t.verdict, t.why = RolledBack, why
		return Plan{Write: RolledBack, Why: why}
	}
	if s.Established {
		return Plan{Write: Completed, Why: "the service runs that version already"}
	}
	return t.goOn(s)
}

// judge has the evidence judged now and then.
func (t *Trial) judge(s Situation) {
	if s.Now-t.judged >= judgeEvery {
		t.judged = s.Now
		t.takeFactors(s)
		t.finding = t.Evidence.Judge(s.Now, s.Targets)
		t.slow = t.Evidence.pace.finding()
		t.doubt = ""
		if s.Now >= t.closeAt() {
			t.doubt = t.doubts(s)
		}
	}
}

// takeFactors takes the factors of the old version's targets once those of half of them are known.
func (t *Trial) takeFactors(s Situation) {
	if s.Factors == nil {
		return
	}
	if known := s.Factors(); 2*len(known) >= s.Old {
		t.Evidence.SetFactors(known)
	}
}

// reasonAgainst says why the version is to be rolled back now, if it is.
func (t *Trial) reasonAgainst(s Situation) string {
	switch {
	case t.Order.Withdrawn():
		return "the order is gone"
	case t.finding.Bad:
		return t.finding.Why
	case s.Established:
		return ""
	case t.atGate() && t.slow.PossiblyBad:
		return "in doubt after the first answers: " + t.slow.Why
	}
	return t.doubt
}

// atGate reports whether the first answers have just come: before many more, any doubt about
// the new targets' speed ends the trial, as a version that is slow from the start gives its fiftieth
// bad answer before that is sure.
func (t *Trial) atGate() bool {
	n := t.Evidence.own() + t.Evidence.carried.Requests
	return n >= gateFrom && n < gateTo
}

// doubts says what speaks against completing a version of which nothing bad is known.
func (t *Trial) doubts(s Situation) string {
	if t.finding.PossiblyBad {
		return "in doubt: " + t.finding.Why
	}
	sum := t.Evidence.Summary()
	if why := sum.doubt(); why != "" {
		return "in doubt: " + why
	}
	// Who has been the home for a moment only, as after its VM stood still, knows too little of course.
	if missing := t.Missing(); len(missing) > 0 && t.settled(s) {
		return "too little is known: " + missing[0]
	}
	if s.Now >= t.times.LatestEnd+lateClose {
		return "its time is over"
	}
	return ""
}

// settled reports whether this home has had time to hear of what runs, and most entries go by it.
func (t *Trial) settled(s Situation) bool {
	return s.Now >= t.began+settle && s.Agreement > backed
}

// Missing lists what evidence is missing for a version to be completed.
func (t *Trial) Missing() []string {
	sum := t.Evidence.Summary()
	var missing []string
	old := 0
	for _, r := range sum.Routes {
		old += r.Old
		if r.Old >= enoughOnRoute && r.Requests < leastOn(r) {
			missing = append(missing, fmt.Sprintf("route %s: %d answers of the new version, %d of the old", r.Route, r.Requests, r.Old))
		}
	}
	if e := t.Evidence; e.oldUnderLoad() && e.loaded < leastLoaded {
		missing = append(missing, fmt.Sprintf("%d answers under load", e.loaded))
	}
	if own := t.Evidence.own(); own < min(leastOfOwn, old/leastOfOwn) {
		missing = append(missing, fmt.Sprintf("%d answers since this entry took over", own))
	}
	const tenth = 10
	if needed := max(1, min(leastRequests, old/tenth)); sum.Requests < needed {
		missing = append(missing, fmt.Sprintf("%d answers of the new version, %d needed", sum.Requests, needed))
	}
	return missing
}

// leastOn is how many answers of the new version a route needs: where many of the old one's are
// bad too, more are needed to tell the difference.
func leastOn(r RouteSummary) int {
	return leastOnRoute + int(moreWhereBad*float64(r.OldBad)/float64(r.Old))
}

// closeAt is from when on nothing that may not be repeated begins on the old version, and
// completeAt when the roll-out is completed at the earliest.
func (t *Trial) closeAt() clock.Millis {
	return t.completeAt() - min(mostClose, clock.Millis(closePart*float64(t.Order.Within)))
}

func (t *Trial) completeAt() clock.Millis {
	return t.times.end() - margin(t.Order.Within)
}

// margin is what is left for writing the final state of an order of some time.
func margin(within clock.Millis) clock.Millis {
	return min(mostMargin, max(leastMargin, clock.Millis(writeMargin*float64(within))))
}

func (t *Trial) leaveAt() clock.Millis {
	return t.closeAt() - min(mostLeave, clock.Millis(leavePart*float64(t.Order.Within)))
}

// goOn plans the phases of a version of which nothing bad is known.
func (t *Trial) goOn(s Situation) Plan {
	if !s.Fresh {
		return Plan{} // who cannot hear of a verdict sends nothing
	}
	switch {
	case s.Now < t.leaveAt():
		return Plan{Fraction: observePart * exposedPart * t.bounds.Fraction}
	case s.Now < t.closeAt():
		return Plan{Fraction: observePart * exposedPart * t.bounds.Fraction, UnrepeatableUntil: t.closeAt()}
	case s.Now < t.completeAt() || s.Unrepeatable > 0:
		return Plan{Fraction: 1, UnrepeatableUntil: t.closeAt(), NoUnrepeatable: true}
	case s.Now < t.began+settle:
		return Plan{Fraction: 1, UnrepeatableUntil: t.closeAt(), NoUnrepeatable: true}
	case !t.settled(s):
		return Plan{Fraction: 1, UnrepeatableUntil: t.closeAt(), NoUnrepeatable: true, Why: "most entries do not take this one for the home"}
	}
	return Plan{Fraction: 1, UnrepeatableUntil: t.closeAt(), NoUnrepeatable: true, Write: Completed, Why: "nothing bad is known"}
}

// Heard takes the evidence of a record that another home has written meanwhile: for a moment two
// may take themselves for the home, and each sees a part.
func (t *Trial) MergeSummary(noted Summary) {
	t.Evidence.carried = t.Evidence.carried.plus(noted.plus(t.noted, -1), 1)
	t.noted = noted
}

// Noted notes that the record holds what was written for it here.
func (t *Trial) SummarySaved(noted Summary) { t.noted = noted }

// Record returns the record to be written for a state.
func (t *Trial) Record(before Record, state State, why string, storeTime func(clock.Millis) clock.Millis) Record {
	r := before
	r.State = state
	r.Why = why
	if before.State == Pending {
		r.Started, r.EarliestEnd, r.LatestEnd = storeTime(t.times.Started), storeTime(t.times.EarliestEnd), storeTime(t.times.LatestEnd)
	}
	r.Evidence = t.Evidence.Summary()
	return r
}
