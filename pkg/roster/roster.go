// Package roster keeps the list of targets right across outages of the store,
// in which the entries of sound targets may lapse.
package roster

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

const (
	// returnTime is how long after the store's return a sound target's entry is
	// back: targets write theirs again within about two seconds.
	returnTime = 2200 * clock.Millisecond
)

// Parse reads a target's row.
type Parse func(id string, document []byte) (*routing.Target, error)

// Roster is the list of targets at one process. It handles what a follower
// reads.
type Roster struct {
	common.Common
	parse   Parse
	changed func(*routing.Directory)

	mu        sync.Mutex
	starting  bool // the first list is being read
	targets   map[ids.Target]*routing.Target
	aside     map[ids.Target]*routing.Target // as they were before their rows became faulty
	faults    *follow.Faults
	missing   map[ids.Target]clock.Millis // lapsed: until when they are kept
	away      bool                        // the store could not be read
	settledAt clock.Millis                // until then, missing entries may come back
}

var _ follow.Handler = (*Roster)(nil)

// New returns an empty roster; changed is told of each new list.
func New(c common.Common, parse Parse, changed func(*routing.Directory)) *Roster {
	return &Roster{
		Common: c, parse: parse, changed: changed,
		targets: make(map[ids.Target]*routing.Target), aside: make(map[ids.Target]*routing.Target),
		faults: follow.NewFaults(c, "targets"), missing: make(map[ids.Target]clock.Millis),
	}
}

// Whole replaces the list.
func (r *Roster) Whole(rows []follow.Row, proof follow.Proof) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.contact(proof)
	present := make(map[ids.Target]bool, len(rows))
	// The first list is one line: at a start of all each entry would write one for each
	// target, and its callers wait for that.
	r.starting = len(r.targets) == 0
	for _, row := range rows {
		present[ids.Target(row.Key)] = true
		r.put(row)
	}
	if r.starting {
		r.Log.WithField("targets", len(r.targets)).Info("first list of targets")
		r.starting = false
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
	r.faults.Retain(rows)
	r.publish()
}

// Changed applies changes.
func (r *Roster) Changed(rows []follow.Row, proof follow.Proof) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.contact(proof)
	for _, row := range rows {
		if row.Gone {
			r.faults.Sound(row.Key)
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
func (r *Roster) Lost(error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = true
}

// contact notes that the store has answered. After an outage, it was back by
// the time of the question.
func (r *Roster) contact(proof follow.Proof) clock.Millis {
	if r.away {
		r.settledAt = proof.AskedAt + returnTime
	}
	r.away = false
	return r.Clock.Now()
}

// WaitForChanges is how long a question for changes of targets is held.
const WaitForChanges = 3 * clock.Second

func (r *Roster) put(row follow.Row) {
	before := r.known(ids.Target(row.Key))
	if before != nil && row.Version > 0 && row.Version < before.Revision {
		return // a page read before a change that is known already: a former life would come back
	}
	target, err := r.parse(row.Key, row.Value)
	if err != nil {
		r.setAside(row, err)
		return
	}
	target.Revision = row.Version
	inherit(before, target)
	if !r.starting && (r.targets[target.ID] == nil || before.Leaving != target.Leaving || before.Life() != target.Life()) {
		r.logListed(before, target)
	}
	r.targets[target.ID] = target
	delete(r.aside, target.ID)
	delete(r.missing, target.ID)
	r.faults.Sound(row.Key)
}

// known returns what was last read of a target, or nil.
func (r *Roster) known(id ids.Target) *routing.Target {
	if t := r.targets[id]; t != nil {
		return t
	}
	return r.aside[id]
}

// setAside takes off a target whose row says nothing that can be used: another writer may
// have put it there, and the target be another by now. Its row is there, so that it has not
// lapsed with the store. What runs at the target goes on, as when it leaves.
func (r *Roster) setAside(row follow.Row, err error) {
	r.faults.Note(row, err)
	id := ids.Target(row.Key)
	if r.targets[id] != nil {
		r.Log.WithField("target", string(id)).Info("target set aside: its row cannot be used")
	}
	if before := r.known(id); before != nil {
		aside := *before
		aside.Revision = max(aside.Revision, row.Version)
		r.aside[id] = &aside
	}
	delete(r.targets, id)
	delete(r.missing, id)
}

// inherit has a row take over what earlier rows told of the same life of its target. A row without
// a start that follows one with a start is of the same life if service, address and version are
// the same, which a process keeps while it runs. A row with a start that follows one without is of
// another life, since a process that tells its start always does.
func inherit(before, target *routing.Target) {
	target.Listed = target.Revision
	if before == nil {
		return
	}
	if target.Start == ids.UnknownStart && target.Service == before.Service && target.Address == before.Address && target.Version == before.Version {
		target.Start = before.Start
	}
	target.Revision = max(target.Revision, before.Revision) // one that is not known is 0
	target.Listed = target.Revision
	if before.Life() == target.Life() {
		target.Listed = before.Listed
	}
}

func (r *Roster) logListed(before, target *routing.Target) {
	line := r.Log.WithFields(logrus.Fields{
		"target": string(target.ID), "leaving": target.Leaving, "version": string(target.Version), "start": int64(target.Start), "revision": target.Revision,
	})
	if before == nil || before.Life() == target.Life() {
		line.Info("target listed")
		return
	}
	line.WithField("former_start", int64(before.Start)).Info("target has started again under its id")
}

// drop takes a target off the list, or keeps it for a while if its entry may
// have lapsed because of the store.
func (r *Roster) drop(now clock.Millis, id ids.Target) {
	if r.targets[id] == nil || r.missing[id] > 0 {
		return
	}
	if now >= r.settledAt {
		delete(r.targets, id)
		r.Log.WithField("target", string(id)).Info("target gone")
		return
	}
	r.missing[id] = r.settledAt
	time.AfterFunc((r.settledAt - now).Duration(), func() { r.expire(id) })
}

// expire takes away a target whose entry did not come back.
func (r *Roster) expire(id ids.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.missing[id] == 0 {
		return
	}
	delete(r.missing, id)
	delete(r.targets, id)
	r.Log.WithField("target", string(id)).Info("target gone: its entry did not come back")
	r.publish()
}

func (r *Roster) publish() {
	list := make([]*routing.Target, 0, len(r.targets))
	for _, t := range r.targets {
		list = append(list, t)
	}
	r.changed(routing.NewDirectory(list))
}
