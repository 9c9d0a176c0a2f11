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

// linesASecond bounds the log lines of each kind: what all targets say in one second, as when all are
// replaced, is counted beyond it.
const linesASecond = 20

// keepUnlisted is for how long the word of a life is kept that is not listed. A row may lapse while
// the store is away, and come back while the target, which serves on for some seconds, still leaves.
const keepUnlisted = 10 * clock.Minute

// Book keeps the advice of targets at one entry. A nil book knows nothing.
type Tracker struct {
	common.Common
	sampler *telemetry.Sampler
	// heard is called, without the lock, with advice that is new here; it is set before the first answer.
	heard func(Status)
	// known is how many records there are: while no target says anything, a request pays for this alone.
	known atomic.Int64

	mu      sync.RWMutex
	records map[ids.Target][]*record
}

// NewBook returns a book without advice.
func NewTracker(c common.Common) *Tracker {
	return &Tracker{Common: c, sampler: telemetry.NewSampler(c.Clock, c.Log, linesASecond), records: make(map[ids.Target][]*record)}
}

// OnHeard sets what is told of advice that is new here.
func (b *Tracker) OnChange(heard func(Status)) { b.heard = heard }

// Hear takes the advice in an answer of a life of a target to a request. Connected is the Unix millisecond at which
// the answer's connection was made, 0 if that is not known.
func (b *Tracker) Observe(life ids.TargetIncarnation, connected ids.Start, request string, a Advice) {
	if b == nil || a.Empty() && (b.known.Load() == 0 || !b.hasNamedLimit(life)) {
		return
	}
	now := b.Clock.Now()
	b.mu.Lock()
	r := b.record(life)
	heard := word{connected: connected, said: a.SentAt}
	leaves := a.Leaving && r.leave(heard)
	left := r.restLeft(now)
	begins := a.Backoff > 0 && left <= 0
	longer := a.Backoff > left
	r.rest(now, a.Backoff, heard)
	limits := b.hearLimit(now, r, &a, heard)
	r.listedAt = now
	standing := r.standing(now)
	b.mu.Unlock()
	b.note(request, standing, leaves, begins)
	b.noteLimit(logrus.Fields{telemetry.FieldRequest: request}, standing, limits, a.Limit.Unreadable())
	if b.heard != nil && (leaves || longer || limits) {
		b.heard(standing)
	}
}

// record returns the record of a life, a new one if there is none; the lock is held.
func (b *Tracker) record(life ids.TargetIncarnation) *record {
	for _, r := range b.records[life.Target] {
		if r.life == life {
			return r
		}
	}
	r := &record{life: life}
	b.records[life.Target] = append(b.records[life.Target], r)
	b.known.Add(1)
	return r
}

// note logs and counts what is heard for the first time of a life, and not what its further answers repeat.
func (b *Tracker) note(request string, s Status, leaves, begins bool) {
	if leaves {
		b.log("leaving", "a target says that it leaves", s, logrus.Fields{telemetry.FieldRequest: request})
	}
	if begins {
		b.log("rest", "a target asks for rest", s, logrus.Fields{telemetry.FieldRequest: request, "rest_ms": int64(s.Backoff)})
	}
}

// noteLimit logs and counts a limit that is new, another one, or none any more, and one that can't be read.
func (b *Tracker) noteLimit(fields logrus.Fields, s Status, changed, unreadable bool) {
	switch {
	case unreadable:
		b.log("unreadable limit", "a target names a limit that is no number", s, fields)
	case !changed:
	case s.Limit.IsLimited():
		fields["per_second"] = float64(s.Limit.Rate)
		b.log("limit", "a target names a limit", s, fields)
	default:
		b.log("limit lifted", "a target names no limit any more", s, fields)
	}
}

func (b *Tracker) log(kind, line string, s Status, fields logrus.Fields) {
	b.Metrics.Prometheus.Add("advice", "kind", kind)
	if b.sampler.Allow(kind) {
		b.Log.WithFields(fields).WithFields(logrus.Fields{"target": string(s.Incarnation.Target), "start": int64(s.Incarnation.Start)}).Info(line)
	}
}

// Of returns what stands against sending to a life of a target. What was heard of a life of which the
// start was not known holds for any start, since it may be the same.
func (b *Tracker) Status(life ids.TargetIncarnation) Status {
	if b == nil || b.known.Load() == 0 {
		return Status{Incarnation: life}
	}
	now := b.Clock.Now()
	b.mu.RLock()
	defer b.mu.RUnlock()
	s := Status{Incarnation: life}
	for _, r := range b.records[life.Target] {
		leaving, rest := r.of(life, now)
		s.Leaving = s.Leaving || leaving
		s.Backoff = max(s.Backoff, rest)
	}
	s.Limit = b.limitOf(life)
	return s
}

// AllRest returns for how long all of some targets rest, apart from those that leave; 0 if one of them does
// not, or all leave.
func (b *Tracker) AllBackoff(targets []*routing.Target) clock.Millis {
	var least clock.Millis
	for _, t := range targets {
		s := b.Status(t.Incarnation())
		switch {
		case s.Leaving:
		case s.Backoff <= 0:
			return 0
		case least == 0 || s.Backoff < least:
			least = s.Backoff
		}
	}
	return least
}

// All lists the lives that leave, rest, or have named a limit, in no order.
func (b *Tracker) All() []Status {
	if b == nil || b.known.Load() == 0 {
		return nil
	}
	now := b.Clock.Now()
	var list []Status
	b.mu.RLock()
	for _, records := range b.records {
		for _, r := range records {
			if s := r.standing(now); s.Blocks() || s.Limit.Known {
				list = append(list, s)
			}
		}
	}
	b.mu.RUnlock()
	return list
}

// Follow takes the newest list of targets: from now on the doubt is over some time whether it was a listed life that
// said what is known of its former one. It must come here before anything is sent by it.
func (b *Tracker) SetDirectory(listed *routing.Directory) {
	if b == nil || b.known.Load() == 0 {
		return
	}
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, records := range b.records {
		for _, r := range records {
			r.follow(now, listed.Target(id))
		}
	}
}

// Prune forgets the rests that are over, and the lives that have not been listed for long.
func (b *Tracker) Prune(listed *routing.Directory) {
	if b.known.Load() == 0 {
		return
	}
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, records := range b.records {
		t := listed.Target(id)
		kept := slices.DeleteFunc(records, func(r *record) bool {
			r.follow(now, t)
			over := r.over(now)
			if over {
				b.log("over", "a target is free of what it said", r.standing(now), nil)
			}
			return over
		})
		b.known.Add(int64(len(kept) - len(records)))
		b.records[id] = kept
		if len(kept) == 0 {
			delete(b.records, id)
		}
	}
}
