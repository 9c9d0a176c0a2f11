package feedrelay

import (
	"bytes"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
)

// maxTombstones limits the tombstones of deleted rows. An entry whose version is older than the
// oldest of them reads a snapshot.
const maxTombstones = 512

// replica is an entry's copy of one table, from which it serves others: all rows, or the changes
// since some version. The rows, the version up to which it has them and the store's time at that
// version come from the same answers: freshness is never relayed without the rows that it covers. The relay's lock
// guards it.
type replica struct {
	known    bool        // it has been read or received; the other fields are not set before
	complete bool        // it has all rows, not only changes
	era      history.Era // of all versions and the store time
	from, to int64       // it has every change after version from, up to version to
	// last and before are the versions of the newest change and of the one before it.
	last, before int64
	storeTime    clock.Millis         // the store's clock at version to
	rows         map[string]versioned // by key, with tombstones
}

// versioned is a row and a version of the table at which it already had this value: that of the answer that brought it,
// which may be later than the row's own.
type versioned struct {
	row     follow.Row
	version int64
}

// position returns that up to which the replica has the table.
func (r *replica) position() history.Position { return history.At(r.era, r.to) }

// apply applies the changes after a position, which are of its era. It reports whether there was anything new. If there
// is a gap between the replica and the changes, the replica starts again from these.
func (r *replica) apply(after history.Position, batch follow.Batch) bool {
	switch v := after.Version; {
	case !r.known, r.position().Before(after):
		*r = replica{known: true, era: after.Era, from: v, to: v, last: v, before: v, rows: make(map[string]versioned)}
	case batch.Position.Before(r.position()):
		return false // older than what the replica has
	}
	changed := len(batch.Rows) > 0 && batch.Position.Version > r.to
	if changed {
		r.put(batch.Rows, batch.Position.Version)
	}
	r.advance(batch)
	return changed
}

// replace applies a snapshot, unless it is of a former era. It reports whether the snapshot differed from the replica.
// If the replica lacks rows, is newer, or is of a former era, it becomes the snapshot, which then counts as different.
func (r *replica) replace(batch follow.Batch) bool {
	at := batch.Position
	if r.known && at.Era < r.era {
		return false
	}
	if r.known && r.complete && at.Era == r.era && at.Version >= r.to {
		changes := r.differences(batch)
		if len(changes) > 0 {
			r.put(changes, at.Version)
		}
		r.advance(batch)
		return len(changes) > 0
	}
	*r = replica{
		known: true, complete: true, era: at.Era, from: at.Version, to: at.Version, last: at.Version, before: at.Version,
		rows: make(map[string]versioned, len(batch.Rows)),
	}
	for _, row := range batch.Rows {
		r.rows[row.Key] = versioned{row, at.Version}
	}
	r.advance(batch)
	return true
}

// differences lists the changes from the replica to a snapshot.
func (r *replica) differences(batch follow.Batch) []follow.Row {
	var changes []follow.Row
	present := make(map[string]bool, len(batch.Rows))
	for _, row := range batch.Rows {
		present[row.Key] = true
		if has, known := r.rows[row.Key]; !known || has.row.Gone || !bytes.Equal(has.row.Value, row.Value) {
			changes = append(changes, row)
		}
	}
	for key, has := range r.rows {
		if !present[key] && !has.row.Gone {
			changes = append(changes, follow.Row{Key: key, Gone: true})
		}
	}
	return changes
}

// put stores the rows of a change, which were those of the table at a version, and makes it the newest change.
func (r *replica) put(rows []follow.Row, version int64) {
	for _, row := range rows {
		r.rows[row.Key] = versioned{row, version}
	}
	r.before, r.last = r.last, version
	r.prune()
}

// advance moves the replica up to the version and store time of a batch whose rows it has.
func (r *replica) advance(batch follow.Batch) {
	r.to = max(r.to, batch.Position.Version)
	r.storeTime = max(r.storeTime, batch.StoreTime)
}

// prune deletes the oldest tombstones down to half of maxTombstones, if there are more than that limit. The changes
// before the newest of the deleted ones can then no longer be served.
func (r *replica) prune() {
	var tombstones []versioned
	for _, v := range r.rows {
		if v.row.Gone {
			tombstones = append(tombstones, v)
		}
	}
	if len(tombstones) <= maxTombstones {
		return
	}
	slices.SortFunc(tombstones, func(a, b versioned) int { return int(a.version - b.version) })
	for _, v := range tombstones[:len(tombstones)-maxTombstones/2] {
		delete(r.rows, v.row.Key)
		r.from = max(r.from, v.version)
	}
}

// since returns the changes after a position, if the replica has all of them.
func (r *replica) since(after history.Position) (follow.Batch, bool) {
	if !r.known || after.Era != r.era || after.Version < r.from || after.Version > r.to {
		return follow.Batch{Position: r.position()}, false
	}
	batch := follow.Batch{Position: r.position(), StoreTime: r.storeTime, Relayed: true}
	for _, v := range r.rows {
		if v.version > after.Version {
			batch.Rows = append(batch.Rows, v.row)
		}
	}
	return batch, true
}

// snapshot returns all rows, if the replica has them.
func (r *replica) snapshot() (follow.Batch, bool) {
	if !r.complete {
		return follow.Batch{}, false
	}
	batch := follow.Batch{Position: r.position(), StoreTime: r.storeTime, Relayed: true}
	for _, v := range r.rows {
		if !v.row.Gone {
			batch.Rows = append(batch.Rows, v.row)
		}
	}
	return batch, true
}

// newestChange returns the rows of the newest change, or nil if they are larger than maxChangeBytes.
func (r *replica) newestChange() []row {
	size := 0
	var rows []row
	for _, v := range r.rows {
		if v.version != r.last {
			continue
		}
		size += len(v.row.Key) + len(v.row.Value)
		if size > maxChangeBytes {
			return nil
		}
		rows = append(rows, row{Key: v.row.Key, Value: v.row.Value, Gone: v.row.Gone, Version: v.row.Position.Version})
	}
	return rows
}
