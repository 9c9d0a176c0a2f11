// Package targetlist keeps the target list correct across outages of the store, during which the rows of healthy
// targets may expire.
package targetlist

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
	// restoreGrace is how long after the store's return the row of a healthy target must be back: targets write
	// theirs again within about two seconds.
	restoreGrace = 2200 * clock.Millisecond
	// maxLogLinesPerSecond limits the log lines of each kind: when all targets start or end together, every entry
	// would log one line for each of them.
	maxLogLinesPerSecond = 10
)

// Parse parses a target's row; id is the row's key. An error takes the target off the list.
type Parse func(id string, document []byte) (*routing.Target, error)

// List is one process's list of targets with their newest rows. It implements follow.Handler for the table of
// targets.
type List struct {
	common.Common
	parse    Parse
	onChange func(*routing.Directory) // called with the lock held, so in order
	sampler  *telemetry.Sampler       // limits the log lines of each kind

	mu               sync.Mutex                     // guards the fields below
	read             bool                           // a snapshot has been read
	starting         bool                           // a snapshot is being applied to an empty list
	targets          map[ids.Target]*routing.Target // in use, including those in expired
	lastValid        map[ids.Target]*routing.Target // last valid data of targets whose rows became invalid
	faults           *follow.Faults                 // invalid rows
	expired          map[ids.Target]clock.Millis    // targets whose rows have expired: until when they are kept
	copied           copiedRows
	storeUnreachable bool         // the last read of the store failed
	graceUntil       clock.Millis // restoreGrace after an outage; until then expired rows may return
}

var _ follow.Handler = (*List)(nil)

// New returns an empty list; changed is called with each new directory, one call at a time, and must not call the list.
func New(c common.Common, parse Parse, changed func(*routing.Directory)) *List {
	return &List{
		Common: c, parse: parse, onChange: changed, sampler: telemetry.NewSampler(c.Clock, c.Log, maxLogLinesPerSecond),
		targets: make(map[ids.Target]*routing.Target), lastValid: make(map[ids.Target]*routing.Target),
		faults: follow.NewFaults(c, "targets"), expired: make(map[ids.Target]clock.Millis),
		copied: newCopiedRows(),
	}
}

// Snapshot replaces the list by all rows of the table. Targets without a row are dropped as for a deleted row.
func (l *List) Snapshot(rows []follow.Row, freshness follow.Freshness) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.recordContact(freshness)
	if l.copied.enterEra(now, !l.read, freshness.Position) {
		l.graceUntil = max(l.graceUntil, now+restoreGrace) // targets write the rows again that the copy lacks
		for _, row := range rows {
			l.copied.recordUnchanged(l.lastKnown(ids.Target(row.Key)), row.Position)
		}
	}
	l.read = true
	// The first list takes one log line: when all entries start together, each would log a line for every target
	// while its callers wait.
	l.starting = len(l.targets) == 0
	for _, row := range rows {
		l.applyRow(row)
	}
	if l.starting {
		l.Log.WithField("targets", len(l.targets)).Info("first list of targets")
		l.starting = false
	}
	l.removeUnlisted(now, rows)
	l.publish()
}

// removeUnlisted drops the targets that have no row in a snapshot of the table. The lock is held.
func (l *List) removeUnlisted(now clock.Millis, all []follow.Row) {
	present := make(map[ids.Target]bool, len(all))
	for _, row := range all {
		present[ids.Target(row.Key)] = true
	}
	for id := range l.targets {
		if !present[id] {
			l.drop(now, id)
		}
	}
	for id := range l.lastValid {
		if !present[id] {
			l.dropInvalid(now, id)
		}
	}
	for id := range l.copied.held {
		if !present[id] {
			delete(l.copied.held, id)
		}
	}
	l.faults.Retain(all)
}

// Changed applies changed and deleted rows, and publishes the list if there are any.
func (l *List) Changed(rows []follow.Row, freshness follow.Freshness) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.recordContact(freshness)
	for _, row := range rows {
		if row.Gone {
			l.faults.Clear(row.Key)
			delete(l.copied.held, ids.Target(row.Key))
			l.dropInvalid(now, ids.Target(row.Key))
			l.drop(now, ids.Target(row.Key))
			continue
		}
		l.applyRow(row)
	}
	if l.applyHeld(now) || len(rows) > 0 {
		l.publish()
	}
}

// ReadFailed records that the store is unreachable; the list is kept as it is.
func (l *List) ReadFailed(error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeUnreachable = true
}

// recordContact records that the store has answered, and returns the current time. After an outage, the store was back
// by the time of the query, and the grace for expired rows counts from there. The lock is held.
func (l *List) recordContact(freshness follow.Freshness) clock.Millis {
	if l.storeUnreachable {
		l.graceUntil = freshness.RequestedAt + restoreGrace
	}
	l.storeUnreachable = false
	return l.Clock.Now()
}

// WaitForChanges is for how long the store may hold a query for changes of targets.
const WaitForChanges = 3 * clock.Second

// drop takes a target off the list, or keeps it until graceUntil if its row may have expired because of an outage of
// the store. The lock is held.
func (l *List) drop(now clock.Millis, id ids.Target) {
	if l.targets[id] == nil || l.expired[id] > 0 {
		return
	}
	if now >= l.graceUntil {
		l.copied.recordGone(now, l.targets[id])
		delete(l.targets, id)
		l.logGone(id, "target gone")
		return
	}
	l.expired[id] = l.graceUntil
	until := l.graceUntil
	time.AfterFunc((until - now).Duration(), func() { l.dropExpired(id, until) })
}

// dropInvalid forgets the last valid data of a target whose row was invalid and has gone. The lock is held.
func (l *List) dropInvalid(now clock.Millis, id ids.Target) {
	l.copied.recordGone(now, l.lastValid[id])
	delete(l.lastValid, id)
}

// dropExpired drops a target whose expired row has not come back by the given time, when it is called by a timer. If
// the row came back since, it does nothing; if it also expired again, another time applies.
func (l *List) dropExpired(id ids.Target, until clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expired[id] != until {
		return
	}
	delete(l.expired, id)
	l.copied.recordGone(l.Clock.Now(), l.targets[id])
	delete(l.targets, id)
	l.logGone(id, "target gone: its row did not come back")
	l.publish()
}

// publish passes a new directory of all targets on. The lock is held.
func (l *List) publish() {
	list := make([]*routing.Target, 0, len(l.targets))
	for _, t := range l.targets {
		list = append(list, t)
	}
	l.onChange(routing.NewDirectory(list))
}
