package feedrelay

import (
	"bytes"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
)

// maxTombstones limits the tombstones of deleted rows. An entry whose version is older than the
// oldest of them reads a snapshot.
const maxTombstones = 512

// replica is an entry's copy of one table, from which it serves others: all rows, or the changes
// since some version. The rows, the version up to which it has them and the store's time at that
// version come from the same answers: freshness is never relayed without the rows that it covers. The relay's lock
// guards it.
type replica struct {
	known    bool  // it has been read or received; the other fields are not set before
	complete bool  // it has all rows, not only changes
	from, to int64 // it has every change after version from, up to version to
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

// apply applies the changes after a version. It reports whether there was anything new. If there is a gap between the
// replica and the changes, the replica starts again from these.
func (r *replica) apply(after int64, batch follow.Batch) bool {
	switch {
	case !r.known, after > r.to:
		*r = replica{known: true, from: after, to: after, last: after, before: after, rows: make(map[string]versioned)}
	case batch.Version < r.to:
		return false // older than what the replica has
	}
	changed := len(batch.Rows) > 0 && batch.Version > r.to
	if changed {
		r.put(batch.Rows, batch.Version)
	}
	r.advance(batch)
	return changed
}

// replace applies a snapshot. It reports whether the snapshot differed from the replica. If the replica lacks rows, or
// is newer, it becomes the snapshot, which then counts as different.
func (r *replica) replace(batch follow.Batch) bool {
	if r.known && r.complete && batch.Version >= r.to {
		changes := r.differences(batch)
		if len(changes) > 0 {
			r.put(changes, batch.Version)
		}
		r.advance(batch)
		return len(changes) > 0
	}
	*r = replica{
		known: true, complete: true, from: batch.Version, to: batch.Version, last: batch.Version, before: batch.Version,
		rows: make(map[string]versioned, len(batch.Rows)),
	}
	for _, row := range batch.Rows {
		r.rows[row.Key] = versioned{row, batch.Version}
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
	r.to = max(r.to, batch.Version)
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

// since returns the changes after a version, if the replica has all of them.
func (r *replica) since(after int64) (follow.Batch, bool) {
	if !r.known || after < r.from || after > r.to {
		return follow.Batch{}, false
	}
	batch := follow.Batch{Version: r.to, StoreTime: r.storeTime, Relayed: true}
	for _, v := range r.rows {
		if v.version > after {
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
	batch := follow.Batch{Version: r.to, StoreTime: r.storeTime, Relayed: true}
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
		rows = append(rows, row{Key: v.row.Key, Value: v.row.Value, Gone: v.row.Gone, Version: v.row.Version})
	}
	return rows
}
