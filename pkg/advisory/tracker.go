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

// unlistedRetention is how long the advice of an incarnation is kept that is not listed. Its row may expire while the store
// is unreachable, and come back while the target, which goes on serving for some seconds, is still leaving.
const unlistedRetention = 10 * clock.Minute

// Tracker keeps the advice of targets at one entry. A nil tracker has no advice.
type Tracker struct {
	common.Common
	sampler *telemetry.Sampler
	// onChange is called, without the lock, when the status of an incarnation changes. It is set before the first answer.
	onChange func(Status)
	// stateCount is the number of states: while no target gives advice, checking it is a request's only cost.
	stateCount atomic.Int64

	mu     sync.RWMutex
	states map[ids.Target][]*incarnationState
}

// NewTracker returns a tracker without advice.
func NewTracker(c common.Common) *Tracker {
	return &Tracker{Common: c, sampler: telemetry.NewSampler(c.Clock, c.Log, logLinesPerSecond), states: make(map[ids.Target][]*incarnationState)}
}

// OnChange sets the function that is called when an answer changes the status of an incarnation.
func (b *Tracker) OnChange(onChange func(Status)) { b.onChange = onChange }

// Observe takes the advice in an answer from an incarnation of a target. Connected is the Unix time in ms at which the
// answer's connection was made, 0 if unknown.
func (b *Tracker) Observe(incarnation ids.TargetIncarnation, connected ids.Start, request string, a Advice) {
	if b == nil || a.Empty() && (b.stateCount.Load() == 0 || !b.hasReportedLimit(incarnation)) {
		return
	}
	now := b.Clock.Now()
	b.mu.Lock()
	r := b.stateFor(incarnation)
	at := reportTime{connected: connected, sent: a.SentAt}
	leaves := a.Leaving && r.setLeaving(at)
	left := r.backoffLeft(now)
	begins := a.Backoff > 0 && left <= 0
	longer := a.Backoff > left
	r.addBackoff(now, a.Backoff, at)
	limits := b.observeLimit(now, r, &a, at)
	r.listedAt = now
	status := r.status(now)
	b.mu.Unlock()
	b.logAdvice(request, status, leaves, begins)
	b.logLimit(logrus.Fields{telemetry.FieldRequest: request}, status, limits, a.Limit.Unreadable())
	if b.onChange != nil && (leaves || longer || limits) {
		b.onChange(status)
	}
}

// stateFor returns the state of an incarnation, a new one if there is none; the caller holds the lock.
func (b *Tracker) stateFor(incarnation ids.TargetIncarnation) *incarnationState {
	for _, r := range b.states[incarnation.Target] {
		if r.incarnation == incarnation {
			return r
		}
	}
	r := &incarnationState{incarnation: incarnation}
	b.states[incarnation.Target] = append(b.states[incarnation.Target], r)
	b.stateCount.Add(1)
	return r
}

// logAdvice logs and counts advice that is new for an incarnation, not advice that its further answers repeat.
func (b *Tracker) logAdvice(request string, s Status, leaves, begins bool) {
	if leaves {
		b.log("leaving", "target reports that it is leaving", s, logrus.Fields{telemetry.FieldRequest: request})
	}
	if begins {
		b.log("rest", "target asks for a back-off", s, logrus.Fields{telemetry.FieldRequest: request, "rest_ms": int64(s.Backoff)})
	}
}

// logLimit logs and counts a limit that is new, changed or lifted, and one that is unreadable.
func (b *Tracker) logLimit(fields logrus.Fields, s Status, changed, unreadable bool) {
	switch {
	case unreadable:
		b.log("unreadable limit", "target reports a rate limit that is not a number", s, fields)
	case !changed:
	case s.Limit.IsLimited():
		fields["per_second"] = float64(s.Limit.Rate)
		b.log("limit", "target reports a rate limit", s, fields)
	default:
		b.log("limit lifted", "target no longer reports a rate limit", s, fields)
	}
}

func (b *Tracker) log(kind, line string, s Status, fields logrus.Fields) {
	b.Metrics.Prometheus.Add("advice", "kind", kind)
	if b.sampler.Allow(kind) {
		b.Log.WithFields(fields).WithFields(logrus.Fields{"target": string(s.Incarnation.Target), "start": int64(s.Incarnation.Start)}).Info(line)
	}
}

// Status returns the advice in force for an incarnation of a target. Advice of an incarnation whose start was unknown
// applies to any start, since it may be the same one.
func (b *Tracker) Status(incarnation ids.TargetIncarnation) Status {
	if b == nil || b.stateCount.Load() == 0 {
		return Status{Incarnation: incarnation}
	}
	now := b.Clock.Now()
	b.mu.RLock()
	defer b.mu.RUnlock()
	s := Status{Incarnation: incarnation}
	for _, r := range b.states[incarnation.Target] {
		leaving, backoff := r.adviceFor(incarnation, now)
		s.Leaving = s.Leaving || leaving
		s.Backoff = max(s.Backoff, backoff)
	}
	s.Limit = b.limitOf(incarnation)
	return s
}

// AllBackoff returns the time until the first of the targets ends its back-off, without those that are leaving. It
// returns 0 if one of them has no back-off, or if all are leaving.
func (b *Tracker) AllBackoff(targets []*routing.Target) clock.Millis {
	var shortest clock.Millis
	for _, t := range targets {
		s := b.Status(t.Incarnation())
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

// All lists the incarnations that are leaving, backing off, or have reported a limit, in no particular order.
func (b *Tracker) All() []Status {
	if b == nil || b.stateCount.Load() == 0 {
		return nil
	}
	now := b.Clock.Now()
	var list []Status
	b.mu.RLock()
	for _, states := range b.states {
		for _, r := range states {
			if s := r.status(now); s.Blocks() || s.Limit.Known {
				list = append(list, s)
			}
		}
	}
	b.mu.RUnlock()
	return list
}

// SetDirectory takes the newest directory. For each incarnation that is new in it, it starts the limited time for which
// reports count that may be the new incarnation's or its former one's. It must be called before any request is sent to a
// target by that directory.
func (b *Tracker) SetDirectory(listed *routing.Directory) {
	if b == nil || b.stateCount.Load() == 0 {
		return
	}
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, states := range b.states {
		for _, r := range states {
			r.setListed(now, listed.Target(id))
		}
	}
}

// Prune removes back-offs that have ended, and incarnations that have not been listed for a long time.
func (b *Tracker) Prune(listed *routing.Directory) {
	if b.stateCount.Load() == 0 {
		return
	}
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, states := range b.states {
		t := listed.Target(id)
		kept := slices.DeleteFunc(states, func(r *incarnationState) bool {
			r.setListed(now, t)
			expired := r.expired(now)
			if expired {
				b.log("over", "advice of a target has expired", r.status(now), nil)
			}
			return expired
		})
		b.stateCount.Add(int64(len(kept) - len(states)))
		b.states[id] = kept
		if len(kept) == 0 {
			delete(b.states, id)
		}
	}
}
