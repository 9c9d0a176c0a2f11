package targetlist

import (
	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

const (
	// copiedRowHold is how long after the store's return from a copy a row of a former incarnation is not relied on: by
	// then the row of an ended target has expired again, after three of its heartbeats. The row of a living one may be
	// wrongly taken for that of a former one until then, but not once it is written again.
	copiedRowHold = 10 * clock.Second
	// formerRetention is how long a former incarnation is remembered, which is longer than a copy is old, and maxFormer
	// how many are.
	formerRetention = clock.Minute
	maxFormer       = 4096
)

// copiedRows tells rows to which the store has returned from rows that were written since. The list's lock guards it.
type copiedRows struct {
	// upTo is the position of the first snapshot of the present era: rows up to there may be from the copy. It is not
	// Known in the first era that was read.
	upTo history.Position
	era  history.Era
	// copyAtLeast is a version that the copy includes: that of a row which has not been written since. 0 if none is known.
	copyAtLeast int64
	// enteredAt is when that snapshot was read.
	enteredAt clock.Millis
	// former are the incarnations that are no longer listed, and since when: their targets have gone, or have started
	// again.
	former map[ids.TargetIncarnation]clock.Millis
	gone   map[ids.Target]*routing.Target // of former, the last ones of targets that have gone
	held   map[ids.Target]heldRow         // rows that are not relied on yet
}

// heldRow is a row that applies at a time unless another one comes.
type heldRow struct {
	row         follow.Row
	incarnation ids.TargetIncarnation // that of the row
	until       clock.Millis
}

// newCopiedRows returns what is known before the first snapshot.
func newCopiedRows() copiedRows {
	return copiedRows{former: make(map[ids.TargetIncarnation]clock.Millis), gone: make(map[ids.Target]*routing.Target), held: make(map[ids.Target]heldRow)}
}

// enterEra records that a snapshot has been read, and reports whether the store has returned from a copy since the
// former one.
func (c *copiedRows) enterEra(now clock.Millis, first bool, at history.Position) bool {
	if at.Era <= c.era {
		return false
	}
	c.era = at.Era
	if first {
		return false
	}
	c.upTo, c.enteredAt, c.copyAtLeast = at, now, 0
	clear(c.held)
	return true
}

// recordUnchanged records that a snapshot of the present era has a row at a position, and that a target's newest row was
// read at a revision. known is nil if the target is not known.
func (c *copiedRows) recordUnchanged(known *routing.Target, at history.Position) {
	if known != nil && history.FromOrdinal(known.Revision).Version == at.Version {
		c.copyAtLeast = max(c.copyAtLeast, at.Version)
	}
}

// mayInclude reports whether a row may be from the copy to which the store has returned.
func (c *copiedRows) mayInclude(row follow.Row) bool {
	return c.upTo.Known() && !c.upTo.Before(row.Position)
}

// isBefore reports whether a row that may be from the copy seems to be of an incarnation before the last known one of its
// target, which is nil if none is known. One that was written when the last known one was, or later, is of a new
// incarnation, in whichever era it was written. An earlier version tells that only up to copyAtLeast, since the others
// may have been given out again; for these the starts decide, although the clock of the VM may have been set back.
func (c *copiedRows) isBefore(row follow.Row, target, last *routing.Target) bool {
	if last == nil || last.Incarnation() == target.Incarnation() {
		return false
	}
	lastRow := history.FromOrdinal(last.Revision)
	switch {
	case lastRow.Era >= row.Position.Era, lastRow.Known() && row.Position.Version >= lastRow.Version:
		return false
	case row.Position.Known() && row.Position.Version <= c.copyAtLeast:
		return true
	default:
		return target.Start != ids.UnknownStart && target.Start < last.Start
	}
}

// recordFormer records that an incarnation is no longer listed.
func (c *copiedRows) recordFormer(now clock.Millis, incarnation ids.TargetIncarnation) {
	for other, since := range c.former {
		if now-since > formerRetention {
			c.forget(other)
		}
	}
	if len(c.former) < maxFormer {
		c.former[incarnation] = now
	}
}

// recordGone records that a target has gone; nil is ignored.
func (c *copiedRows) recordGone(now clock.Millis, t *routing.Target) {
	if t == nil {
		return
	}
	c.recordFormer(now, t.Incarnation())
	if _, recorded := c.former[t.Incarnation()]; recorded {
		c.gone[t.ID] = t
	}
}

// forget forgets a former incarnation.
func (c *copiedRows) forget(incarnation ids.TargetIncarnation) {
	delete(c.former, incarnation)
	if t := c.gone[incarnation.Target]; t != nil && t.Incarnation() == incarnation {
		delete(c.gone, incarnation.Target)
	}
}

// recordListed records that an incarnation is listed, in place of the one before if that is not nil: that one, and the
// one of a row that was held back, are former ones.
func (c *copiedRows) recordListed(now clock.Millis, before, target *routing.Target) {
	delete(c.former, target.Incarnation())
	delete(c.gone, target.ID)
	if before != nil && before.Incarnation() != target.Incarnation() {
		c.recordFormer(now, before.Incarnation())
	}
	if h, isHeld := c.held[target.ID]; isHeld && h.incarnation != target.Incarnation() {
		c.recordFormer(now, h.incarnation)
	}
	delete(c.held, target.ID)
}

// holdCopied holds a row back that may be from the copy and is of a former incarnation. before is nil if the target is
// not known. It reports whether it did. The lock is held.
func (l *List) holdCopied(row follow.Row, before, target *routing.Target) bool {
	until := l.copied.enteredAt + copiedRowHold
	if !l.copied.mayInclude(row) || l.Clock.Now() >= until {
		return false
	}
	last := before
	if last == nil {
		last = l.copied.gone[target.ID]
	}
	if _, isFormer := l.copied.former[target.Incarnation()]; !isFormer && !l.copied.isBefore(row, target, last) {
		return false
	}
	l.copied.held[target.ID] = heldRow{row, target.Incarnation(), until}
	l.logHeld(row, target, last)
	return true
}

// logHeld logs a row that is held back, unless there were too many in this second. last is the last known incarnation of
// its target, nil if there is none.
func (l *List) logHeld(row follow.Row, target, last *routing.Target) {
	if !l.sampler.Allow(kindHeld) {
		return
	}
	line := l.Log.WithFields(logrus.Fields{
		"target": string(target.ID), "start": int64(target.Start), "position": row.Position.String(),
		"copy_at_least": l.copied.copyAtLeast, "for_ms": int64(l.copied.enteredAt + copiedRowHold - l.Clock.Now()),
	})
	if last != nil {
		line = line.WithField("last_start", int64(last.Start)).WithField("last_revision", history.FromOrdinal(last.Revision).String())
	}
	line.Info("target row held back: the store has returned to that of a former incarnation")
}

// applyHeld applies the rows that have been held back for long enough, and reports whether there were any. The lock is
// held.
func (l *List) applyHeld(now clock.Millis) bool {
	applied := false
	for id, h := range l.copied.held {
		if now >= h.until {
			delete(l.copied.held, id)
			l.applyRow(h.row)
			applied = true
		}
	}
	return applied
}
