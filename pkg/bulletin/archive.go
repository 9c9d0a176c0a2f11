package bulletin

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
)

const (
	// archiveBytes and archiveChanges bound what an entry keeps of a table's
	// changes. What is asked for beyond that is read from the store.
	archiveBytes   = 1 << 20
	archiveChanges = 64
)

// archive keeps a table's last changes, to pass them on. All that it holds, the
// version up to which it holds it and the store's time at that version come from
// the same answers: a proof never goes without the rows that it speaks of.
type archive struct {
	known     bool
	from, to  int64 // it holds every change after version from, up to version to
	storeTime clock.Millis
	changes   []change
	bytes     int
}

// change is the rows that changed after the change before, up to a version.
type change struct {
	version int64
	rows    []follow.Row
}

// add notes what an answer says of the changes after a version.
func (a *archive) add(after int64, batch follow.Batch) {
	switch {
	case !a.known, after > a.to:
		*a = archive{known: true, from: after, to: after}
	case batch.Version < a.to:
		return // it is older than what is known
	}
	if len(batch.Rows) > 0 && batch.Version > a.to {
		a.changes = append(a.changes, change{batch.Version, batch.Rows})
		a.bytes += size(batch.Rows)
	}
	a.to = batch.Version
	a.storeTime = max(a.storeTime, batch.StoreTime)
	for len(a.changes) > archiveChanges || a.bytes > archiveBytes {
		a.from = a.changes[0].version
		a.bytes -= size(a.changes[0].rows)
		a.changes = a.changes[1:]
	}
}

// since returns the changes after a version, if all of them are held.
func (a *archive) since(after int64) (follow.Batch, bool) {
	if !a.known || after < a.from || after > a.to {
		return follow.Batch{}, false
	}
	batch := follow.Batch{Version: a.to, StoreTime: a.storeTime, Relayed: true}
	for _, c := range a.changes {
		if c.version > after {
			batch.Rows = append(batch.Rows, c.rows...)
		}
	}
	return batch, true
}

func size(rows []follow.Row) int {
	n := 0
	for _, r := range rows {
		n += len(r.Key) + len(r.Value)
	}
	return n
}
