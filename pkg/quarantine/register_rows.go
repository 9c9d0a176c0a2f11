package quarantine

import "quaydock/pkg/clock"

// Write is a row that is to be written if its version is still the one that was read, 0 if there
// was none.
type Write struct {
	Record
	Version int64
	// Remove says that the row is to go.
	Remove bool
}

// Read takes a row of the store, whose version is never 0.
func (r *Register) Read(now clock.Millis, row *Record, version int64) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.join(now, row)
	if e := r.records[row.Digest]; e != nil && version > e.version {
		e.row, e.version = row.clone(), version
	}
	return c
}

// Unread notes that the store has no row of a request any more.
func (r *Register) RowRemoved(d Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.records[d]; e != nil {
		e.row, e.version = Record{}, 0
	}
}

// UnreadOthers notes that the store has no rows but these.
func (r *Register) RetainRows(rows []Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	there := make(map[Digest]bool, len(rows))
	for i := range rows {
		there[rows[i].Digest] = true
	}
	for d, e := range r.records {
		if !there[d] {
			e.row, e.version = Record{}, 0
		}
	}
}

// Unwritten lists the records that the store is to hold otherwise than it does, those held back
// first: rows of requests that are held back or have two ends, and no others.
func (r *Register) Unwritten(mine func(Digest) bool) []Write {
	r.mu.Lock()
	defer r.mu.Unlock()
	var held, others []Write
	for d, e := range r.records {
		switch {
		case !e.due() || !mine(d):
		case e.heldAt > 0:
			held = append(held, e.write())
		default:
			others = append(others, e.write())
		}
	}
	return append(held, others...)
}

// storedEnds is from how many ends on the store holds a record: the innocent requests at a target
// that ends have one each.
const storedEnds = 2

// stored reports whether the store is to hold a record.
func (e *entry) stored() bool {
	count, _ := e.standing()
	return count >= storedEnds || e.heldAt > 0
}

// due reports whether the store holds a record otherwise than it is to. It is asked of all records,
// five times a second.
func (e *entry) due() bool {
	if e.stored() {
		return !e.row.covers(&e.Record)
	}
	return e.version > 0
}

// write returns the write that a record needs.
func (e *entry) write() Write {
	return Write{Record: e.clone(), Version: e.version, Remove: !e.stored()}
}
