package targetlist

import (
	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// applyRow applies a target's row; it does not publish the list. The lock is held.
func (l *List) applyRow(row follow.Row) {
	before := l.lastKnown(ids.Target(row.Key))
	if before != nil && row.Position.Known() && row.Position.Ordinal() < before.Revision {
		return // read before a change that is already applied: it would bring back a former incarnation
	}
	target, err := l.parse(row.Key, row.Value)
	if err != nil {
		l.excludeInvalid(row, err)
		return
	}
	target.Revision = row.Position.Ordinal()
	inherit(before, target)
	if l.holdCopied(row, before, target) {
		return
	}
	if l.copied.mayInclude(row) {
		target.Leaving = target.Leaving || before != nil && before.Leaving && before.Incarnation() == target.Incarnation()
	}
	l.copied.recordListed(l.Clock.Now(), before, target)
	target.ColdUntil = l.coldUntil(before, target)
	if !l.starting && (l.targets[target.ID] == nil || before.Leaving != target.Leaving || before.Incarnation() != target.Incarnation()) {
		l.logListed(before, target)
	}
	l.targets[target.ID] = target
	delete(l.lastValid, target.ID)
	delete(l.expired, target.ID)
	l.faults.Clear(row.Key)
}

// lastKnown returns the last valid data of a target, also if its row is invalid now, or nil. The lock is held.
func (l *List) lastKnown(id ids.Target) *routing.Target {
	if t := l.targets[id]; t != nil {
		return t
	}
	return l.lastValid[id]
}

// excludeInvalid takes a target with an invalid row off the list: another writer may have written the row, and the
// target may have been replaced. The row exists, so it has not expired in an outage. Requests that run on the target
// continue, as when it is leaving. The revision of the invalid row is kept, so that an older row does not apply. The
// lock is held.
func (l *List) excludeInvalid(row follow.Row, err error) {
	l.faults.Add(row, err)
	id := ids.Target(row.Key)
	if l.targets[id] != nil {
		l.Log.WithField("target", string(id)).Info("target removed: its row cannot be used")
	}
	if before := l.lastKnown(id); before != nil {
		excluded := *before
		excluded.Revision = max(excluded.Revision, row.Position.Ordinal())
		l.lastValid[id] = &excluded
	}
	delete(l.targets, id)
	delete(l.expired, id)
	delete(l.copied.held, id)
}

// inherit carries over what earlier rows reported about the same incarnation of a target: its start, and the revision
// with which it was first listed. before is nil if the target was not known. A row without a start time
// that follows one with a start time belongs to the same incarnation if service, address and version are equal, as
// these do not change while a process runs. A row with a start time that follows one without belongs to another
// incarnation, since a process that reports its start time always does so.
func inherit(before, target *routing.Target) {
	target.ListedRevision = target.Revision
	if before == nil {
		return
	}
	if target.Start == ids.UnknownStart && target.Service == before.Service && target.Address == before.Address && target.Version == before.Version {
		target.Start = before.Start
	}
	target.Revision = max(target.Revision, before.Revision) // 0 if unknown
	target.ListedRevision = target.Revision
	if before.Incarnation() == target.Incarnation() {
		target.ListedRevision = before.ListedRevision
	}
}

// coldUntil returns when a target is no longer cold, by this process's clock; 0 if it is not cold. before is nil if the
// target was not known. Reading the same row again must not extend that time, and a row relayed by another process may
// have been read a while ago.
func (l *List) coldUntil(before, target *routing.Target) clock.Millis {
	switch {
	case target.ColdFor == 0:
		return 0
	case before != nil && before.Incarnation() == target.Incarnation() && before.ColdFor == target.ColdFor:
		return before.ColdUntil
	default:
		return l.Clock.Now() + target.ColdFor
	}
}

// The kinds of log lines, of which at most maxLogLinesPerSecond each are written.
const (
	kindListed    = "target listed"
	kindLeaving   = "target leaving"
	kindRestarted = "target started again"
	kindGone      = "target gone"
	kindHeld      = "target row held back"
)

// logGone logs line for a target that was dropped, unless too many were in this second.
func (l *List) logGone(id ids.Target, line string) {
	if l.sampler.Allow(kindGone) {
		l.Log.WithField("target", string(id)).Info(line)
	}
}

// logListed logs a target that is new, leaving or a new incarnation, unless there were too many of its kind in this
// second. before is nil if the target was not known.
func (l *List) logListed(before, target *routing.Target) {
	restarted := before != nil && before.Incarnation() != target.Incarnation()
	kind := kindListed
	switch {
	case restarted:
		kind = kindRestarted
	case target.Leaving:
		kind = kindLeaving
	}
	if !l.sampler.Allow(kind) {
		return
	}
	line := l.Log.WithFields(logrus.Fields{
		"target": string(target.ID), "leaving": target.Leaving, "version": string(target.Version), "start": int64(target.Start), "revision": history.FromOrdinal(target.Revision).String(),
	})
	if !restarted {
		line.Info("target listed")
		return
	}
	line.WithField("former_start", int64(before.Start)).Info("target has started again under its id")
}
