// Package roster keeps the list of targets right across outages of the store,
// in which the entries of sound targets may lapse.
package roster

import (
	"sync"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
	"quaydock/pkg/telemetry"
)

const (
	// returnTime is how long after the store's return a sound target's entry is
	// back: targets write theirs again within about two seconds.
	returnTime = 2200 * clock.Millisecond
	// linesASecond bounds the log lines of each kind: where all targets start or end together, every entry would
	// write one for each of them.
	linesASecond = 10
)

// Parse reads a target's row.
type Parse func(id string, document []byte) (*routing.Target, error)

// Roster is the list of targets at one process. It handles what a follower
// reads.
type List struct {
	common.Common
	parse   Parse
	changed func(*routing.Directory)
	sampler *telemetry.Sampler

	mu        sync.Mutex
	starting  bool                           // the first list is being read
	targets   map[ids.Target]*routing.Target // in use, also those that are missing
	aside     map[ids.Target]*routing.Target // as they were before their rows became faulty
	faults    *follow.Faults                 // rows that cannot be used
	missing   map[ids.Target]clock.Millis    // lapsed: until when they are kept
	away      bool                           // the store could not be read
	settledAt clock.Millis                   // until then, missing entries may come back
}

var _ follow.Handler = (*List)(nil)

// New returns an empty roster; changed is told of each new list.
func New(c common.Common, parse Parse, changed func(*routing.Directory)) *List {
	return &List{
		Common: c, parse: parse, changed: changed, sampler: telemetry.NewSampler(c.Clock, c.Log, linesASecond),
		targets: make(map[ids.Target]*routing.Target), aside: make(map[ids.Target]*routing.Target),
		faults: follow.NewFaults(c, "targets"), missing: make(map[ids.Target]clock.Millis),
	}
}

// Whole replaces the list.
func (r *List) Snapshot(rows []follow.Row, proof follow.Freshness) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.contact(proof)
	// The first list is one line: at a start of all each entry would write one for each
	// target, and its callers wait for that.
	r.starting = len(r.targets) == 0
	for _, row := range rows {
		r.put(row)
	}
	if r.starting {
		r.Log.WithField("targets", len(r.targets)).Info("first list of targets")
		r.starting = false
	}
	r.retain(now, rows)
	r.publish()
}

// retain takes off what has no row among all rows of the table.
func (r *List) retain(now clock.Millis, all []follow.Row) {
	present := make(map[ids.Target]bool, len(all))
	for _, row := range all {
		present[ids.Target(row.Key)] = true
	}
	for id := range r.targets {
		if !present[id] {
			r.drop(now, id)
		}
	}
	for id := range r.aside {
		if !present[id] {
			delete(r.aside, id)
		}
	}
	r.faults.Retain(all)
}

// Changed applies changes.
func (r *List) Changed(rows []follow.Row, proof follow.Freshness) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.contact(proof)
	for _, row := range rows {
		if row.Gone {
			r.faults.Clear(row.Key)
			delete(r.aside, ids.Target(row.Key))
			r.drop(now, ids.Target(row.Key))
			continue
		}
		r.put(row)
	}
	if len(rows) > 0 {
		r.publish()
	}
}

// Lost notes that the store is away; the list stays as it is.
func (r *List) ReadFailed(error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = true
}

// contact notes that the store has answered. After an outage, it was back by
// the time of the question.
func (r *List) contact(proof follow.Freshness) clock.Millis {
	if r.away {
		r.settledAt = proof.AskedAt + returnTime
	}
	r.away = false
	return r.Clock.Now()
}

// WaitForChanges is how long a question for changes of targets is held.
const WaitForChanges = 3 * clock.Second

// drop takes a target off the list, or keeps it for a while if its entry may
// have lapsed because of the store.
func (r *List) drop(now clock.Millis, id ids.Target) {
	if r.targets[id] == nil || r.missing[id] > 0 {
		return
	}
	if now >= r.settledAt {
		delete(r.targets, id)
		r.logGone(id, "target gone")
		return
	}
	r.missing[id] = r.settledAt
	until := r.settledAt
	time.AfterFunc((until - now).Duration(), func() { r.expire(id, until) })
}

// expire takes away a target whose entry did not come back until a moment. One that came back,
// and has lapsed again since, has another.
func (r *List) expire(id ids.Target, until clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.missing[id] != until {
		return
	}
	delete(r.missing, id)
	delete(r.targets, id)
	r.logGone(id, "target gone: its entry did not come back")
	r.publish()
}

func (r *List) publish() {
	list := make([]*routing.Target, 0, len(r.targets))
	for _, t := range r.targets {
		list = append(list, t)
	}
	r.changed(routing.NewDirectory(list))
}
