package roster

import (
	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// put takes a row of a target.
func (r *List) put(row follow.Row) {
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
	target.ColdUntil = r.coldUntil(before, target)
	if !r.starting && (r.targets[target.ID] == nil || before.Leaving != target.Leaving || before.Incarnation() != target.Incarnation()) {
		r.logListed(before, target)
	}
	r.targets[target.ID] = target
	delete(r.aside, target.ID)
	delete(r.missing, target.ID)
	r.faults.Clear(row.Key)
}

// known returns what was last read of a target, or nil.
func (r *List) known(id ids.Target) *routing.Target {
	if t := r.targets[id]; t != nil {
		return t
	}
	return r.aside[id]
}

// setAside takes off a target whose row says nothing that can be used: another writer may
// have put it there, and the target be another by now. Its row is there, so that it has not
// lapsed with the store. What runs at the target goes on, as when it leaves.
func (r *List) setAside(row follow.Row, err error) {
	r.faults.Add(row, err)
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
	target.ListedRevision = target.Revision
	if before == nil {
		return
	}
	if target.Start == ids.UnknownStart && target.Service == before.Service && target.Address == before.Address && target.Version == before.Version {
		target.Start = before.Start
	}
	target.Revision = max(target.Revision, before.Revision) // one that is not known is 0
	target.ListedRevision = target.Revision
	if before.Incarnation() == target.Incarnation() {
		target.ListedRevision = before.ListedRevision
	}
}

// coldUntil is when a target is no longer cold. A row that is read again tells nothing new of that, and one that
// another process has told may be older than its reading.
func (r *List) coldUntil(before, target *routing.Target) clock.Millis {
	switch {
	case target.ColdFor == 0:
		return 0
	case before != nil && before.Incarnation() == target.Incarnation() && before.ColdFor == target.ColdFor:
		return before.ColdUntil
	default:
		return r.Clock.Now() + target.ColdFor
	}
}

// The kinds of log lines that are sampled.
const (
	kindListed  = "target listed"
	kindLeaving = "target leaving"
	kindAgain   = "target started again"
	kindGone    = "target gone"
)

func (r *List) logGone(id ids.Target, line string) {
	if r.sampler.Allow(kindGone) {
		r.Log.WithField("target", string(id)).Info(line)
	}
}

func (r *List) logListed(before, target *routing.Target) {
	again := before != nil && before.Incarnation() != target.Incarnation()
	kind := kindListed
	switch {
	case again:
		kind = kindAgain
	case target.Leaving:
		kind = kindLeaving
	}
	if !r.sampler.Allow(kind) {
		return
	}
	line := r.Log.WithFields(logrus.Fields{
		"target": string(target.ID), "leaving": target.Leaving, "version": string(target.Version), "start": int64(target.Start), "revision": target.Revision,
	})
	if !again {
		line.Info("target listed")
		return
	}
	line.WithField("former_start", int64(before.Start)).Info("target has started again under its id")
}
