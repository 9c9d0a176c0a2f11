package advisory

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
	"quaydock/pkg/telemetry"
)

// logLinesPerSecond limits the log lines of each kind. All targets may give advice within a second, as when all of them
// are replaced; lines beyond that are only counted.
const logLinesPerSecond = 20

// unlistedRetention is how long the advice of an incarnation is kept that is not listed. Its row may expire while the
// store is unreachable, and come back while the target, which goes on serving for some seconds, is still leaving.
const unlistedRetention = 10 * clock.Minute

// Tracker keeps the advice of targets at one entry. A nil tracker has no advice.
type Tracker struct {
	common.Common
	sampler *telemetry.Sampler
	// onChange is called, without the lock, when the status of an incarnation changes. It is set before the first answer.
	onChange func(Status)
	// stateCount is the number of states: while no target gives advice, checking it is a request's only cost.
	stateCount atomic.Int64

	mu     sync.RWMutex                       // guards states, and what they point to
	states map[ids.Target][]*incarnationState // those of one target in the order in which they were added
}

// NewTracker returns a tracker without advice.
func NewTracker(c common.Common) *Tracker {
	return &Tracker{Common: c, sampler: telemetry.NewSampler(c.Clock, c.Log, logLinesPerSecond), states: make(map[ids.Target][]*incarnationState)}
}

// OnChange sets the function that is called, without the lock, when an answer changes the status of an incarnation. It
// must be called before the first answer is observed.
func (tr *Tracker) OnChange(onChange func(Status)) { tr.onChange = onChange }

// Observe takes the advice in an answer from an incarnation of a target. Connected is the Unix time in ms at which the
// answer's connection was made, 0 if unknown. The id of the request is for logs. An answer without advice matters only
// if the incarnation has reported a limit, which it lifts.
func (tr *Tracker) Observe(incarnation ids.TargetIncarnation, connected ids.Start, request string, a Advice) {
	if tr == nil || a.Empty() && (tr.stateCount.Load() == 0 || !tr.hasReportedLimit(incarnation)) {
		return
	}
	now := tr.Clock.Now()
	tr.mu.Lock()
	r := tr.stateFor(incarnation)
	at := reportTime{connected: connected, sent: a.SentAt}
	leaves := a.Leaving && r.setLeaving(at)
	left := r.backoffLeft(now)
	begins := a.Backoff > 0 && left <= 0
	longer := a.Backoff > left
	r.addBackoff(now, a.Backoff, at)
	limits := tr.observeLimit(now, r, &a, at)
	r.listedAt = now
	status := r.status(now)
	tr.mu.Unlock()
	tr.logAdvice(request, status, leaves, begins)
	tr.logLimit(logrus.Fields{telemetry.FieldRequest: request}, status, limits, a.Limit.Unreadable())
	if tr.onChange != nil && (leaves || longer || limits) {
		tr.onChange(status)
	}
}

// stateFor returns the state of an incarnation, a new one if there is none; the caller holds the lock.
func (tr *Tracker) stateFor(incarnation ids.TargetIncarnation) *incarnationState {
	for _, r := range tr.states[incarnation.Target] {
		if r.incarnation == incarnation {
			return r
		}
	}
	r := &incarnationState{incarnation: incarnation}
	tr.states[incarnation.Target] = append(tr.states[incarnation.Target], r)
	tr.stateCount.Add(1)
	return r
}

// logAdvice logs and counts advice that is new for an incarnation, not advice that its further answers repeat: leaves
// says that it had not reported before that it leaves, begins that it had no back-off before this one.
func (tr *Tracker) logAdvice(request string, s Status, leaves, begins bool) {
	if leaves {
		tr.log("leaving", "target reports that it is leaving", s, logrus.Fields{telemetry.FieldRequest: request})
	}
	if begins {
		tr.log("rest", "target asks for a back-off", s, logrus.Fields{telemetry.FieldRequest: request, "rest_ms": int64(s.Backoff)})
	}
}

// logLimit logs and counts a limit that is new, changed or lifted, and one that is unreadable. It may add to fields.
func (tr *Tracker) logLimit(fields logrus.Fields, s Status, changed, unreadable bool) {
	switch {
	case unreadable:
		tr.log("unreadable limit", "target reports a rate limit that is not a number", s, fields)
	case !changed:
	case s.Limit.IsLimited():
		fields["per_second"] = float64(s.Limit.Rate)
		tr.log("limit", "target reports a rate limit", s, fields)
	default:
		tr.log("limit lifted", "target no longer reports a rate limit", s, fields)
	}
}

// log counts advice under a kind, and writes a log line of that kind unless there were too many within the second.
func (tr *Tracker) log(kind, line string, s Status, fields logrus.Fields) {
	tr.Metrics.Prometheus.Add("advice", "kind", kind)
	if tr.sampler.Allow(kind) {
		tr.Log.WithFields(fields).WithFields(logrus.Fields{"target": string(s.Incarnation.Target), "start": int64(s.Incarnation.Start)}).Info(line)
	}
}

// Status returns the advice in force for an incarnation of a target. Advice of an incarnation whose start was unknown
// applies to any start, since it may be the same one.
func (tr *Tracker) Status(incarnation ids.TargetIncarnation) Status {
	if tr == nil || tr.stateCount.Load() == 0 {
		return Status{Incarnation: incarnation}
	}
	now := tr.Clock.Now()
	tr.mu.RLock()
	defer tr.mu.RUnlock()
	s := Status{Incarnation: incarnation}
	for _, r := range tr.states[incarnation.Target] {
		leaving, backoff := r.adviceFor(incarnation, now)
		s.Leaving = s.Leaving || leaving
		s.Backoff = max(s.Backoff, backoff)
	}
	s.Limit = tr.limitOf(incarnation)
	return s
}

// ShortestBackoff returns the time until the first of the targets ends its back-off, without those that are leaving. It
// returns 0 if one of them has no back-off, or if all are leaving.
func (tr *Tracker) ShortestBackoff(targets []*routing.Target) clock.Millis {
	var shortest clock.Millis
	for _, t := range targets {
		s := tr.Status(t.Incarnation())
		switch {
		case s.Leaving:
		case s.Backoff <= 0:
			return 0
		case shortest == 0 || s.Backoff < shortest:
			shortest = s.Backoff
		}
	}
	return shortest
}

// All lists the incarnations that are leaving, backing off, or have reported a limit, even one that was lifted since,
// in no particular order.
func (tr *Tracker) All() []Status {
	if tr == nil || tr.stateCount.Load() == 0 {
		return nil
	}
	now := tr.Clock.Now()
	var list []Status
	tr.mu.RLock()
	for _, states := range tr.states {
		for _, r := range states {
			if s := r.status(now); s.Blocks() || s.Limit.Known {
				list = append(list, s)
			}
		}
	}
	tr.mu.RUnlock()
	return list
}

// SetDirectory takes the newest directory. For each incarnation that is new in it, it starts the limited time for which
// reports count that may be the new incarnation's or its former one's. It must be called before any request is sent to
// a target by that directory.
func (tr *Tracker) SetDirectory(listed *routing.Directory) {
	if tr == nil || tr.stateCount.Load() == 0 {
		return
	}
	now := tr.Clock.Now()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for id, states := range tr.states {
		for _, r := range states {
			r.setListed(now, listed.Target(id))
		}
	}
}

// Prune removes the incarnations none of whose advice is in force any more, by the newest directory.
func (tr *Tracker) Prune(listed *routing.Directory) {
	if tr.stateCount.Load() == 0 {
		return
	}
	now := tr.Clock.Now()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for id, states := range tr.states {
		t := listed.Target(id)
		kept := slices.DeleteFunc(states, func(r *incarnationState) bool {
			r.setListed(now, t)
			expired := r.expired(now)
			if expired {
				tr.log("over", "advice of a target has expired", r.status(now), nil)
			}
			return expired
		})
		tr.stateCount.Add(int64(len(kept) - len(states)))
		tr.states[id] = kept
		if len(kept) == 0 {
			delete(tr.states, id)
		}
	}
}
