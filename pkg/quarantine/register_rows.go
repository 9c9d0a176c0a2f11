package quarantine

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/history"
)

// Write describes a row to be written if it is still the one that was read at a position, not Known if there was none.
type Write struct {
	Record
	Position history.Position
	// Remove says that the row is to be removed.
	Remove bool
}

// RowRead takes a row that the store holds, as read there or as written by this entry; its position is Known. Its
// target ends count against the request, not against the account, since they may be old.
func (r *Register) RowRead(now clock.Millis, row *Record, writtenAt history.Position) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.join(now, row)
	if e := r.records[row.Digest]; e != nil && e.writtenAt.Before(writtenAt) {
		e.row, e.writtenAt = row.clone(), writtenAt
	}
	return c
}

// RowRemoved records that the store no longer has a row of a request. The record stays.
func (r *Register) RowRemoved(d Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.records[d]; e != nil {
		e.row, e.writtenAt = Record{}, history.Position{}
	}
}

// RetainRows records that the store has no rows but these.
func (r *Register) RetainRows(rows []Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	there := make(map[Digest]bool, len(rows))
	for i := range rows {
		there[rows[i].Digest] = true
	}
	for d, e := range r.records {
		if !there[d] {
			e.row, e.writtenAt = Record{}, history.Position{}
		}
	}
}

// Unwritten lists the writes for the owned digests whose rows differ from what the store is to hold, quarantined ones
// first. The store holds rows of requests that are quarantined or have two target ends, and no others.
func (r *Register) Unwritten(owned func(Digest) bool) []Write {
	r.mu.Lock()
	defer r.mu.Unlock()
	var held, others []Write
	for d, e := range r.records {
		switch {
		case !e.needsWrite() || !owned(d):
		case e.heldAt > 0:
			held = append(held, e.pendingWrite())
		default:
			others = append(others, e.pendingWrite())
		}
	}
	return append(held, others...)
}

// minStoredEnds is the number of ends from which on the store holds a record: the innocent requests at a target that
// ends have one each.
const minStoredEnds = 2

// belongsInStore reports whether the store is to hold a record: it is quarantined or has minStoredEnds, in a row if it is
// of a part. The caller holds the register's lock.
func (e *trackedRecord) belongsInStore() bool {
	return e.evidence() >= minStoredEnds || e.heldAt > 0
}

// needsWrite reports whether the store's row of a record must be written or removed. It is called for all records, each
// persistInterval, by a caller that holds the register's lock.
func (e *trackedRecord) needsWrite() bool {
	if e.belongsInStore() {
		return !e.row.covers(&e.Record)
	}
	return e.writtenAt.Known()
}

// pendingWrite returns the write that a record needs. The caller holds the register's lock.
func (e *trackedRecord) pendingWrite() Write {
	return Write{Record: e.clone(), Position: e.writtenAt, Remove: !e.belongsInStore()}
}
