package follow

import (
	"bytes"

	"quaydock/pkg/clock"
	"quaydock/pkg/history"
)

// RewriteTime is how long after the store's return from a copy its other writers may take to write the rows again that
// were lost.
const RewriteTime = 10 * clock.Second

// Keeper passes a table on to a handler, and keeps what was known of its rows when the store returns from a copy: a row
// that the copy lacks, or has an older value of, stays as it was until another one is written or RewriteTime is over.
// Then the rows count as they are. A row that is written again with the same value keeps its position.
type Keeper struct {
	handler Handler
	clock   clock.Clock
	// versioned reports whether a row's value tells itself which of two is newer; such a row is passed on as it is, and not
	// at all if the store lacks it.
	versioned func(key string) bool

	era   history.Era
	until clock.Millis   // of the present era's RewriteTime; 0 in the first era that was read
	rows  map[string]Row // as passed on, without deleted ones
	// stored are the rows of the store that were not passed on, with Gone for those that it lacks.
	stored map[string]Row
	// positions are the positions in the store of rows that were passed on at a former one.
	positions map[string]history.Position
}

var _ Handler = (*Keeper)(nil)

// NewKeeper returns a Keeper for a handler.
func NewKeeper(c clock.Clock, handler Handler, versioned func(key string) bool) *Keeper {
	return &Keeper{handler: handler, clock: c, versioned: versioned, rows: make(map[string]Row), stored: make(map[string]Row), positions: make(map[string]history.Position)}
}

// Snapshot passes a snapshot on, with the rows that are kept.
func (k *Keeper) Snapshot(rows []Row, freshness Freshness) {
	now := k.clock.Now()
	if freshness.Position.Era > k.era {
		if len(k.rows) > 0 {
			k.until = now + RewriteTime
		}
		k.era = freshness.Position.Era
	}
	known := k.rows
	k.rows, k.stored = make(map[string]Row, len(rows)), make(map[string]Row)
	passed := make([]Row, 0, len(rows))
	for _, row := range rows {
		passed = append(passed, k.kept(now, known, row))
	}
	for key, row := range known {
		if _, present := k.rows[key]; !present && now < k.until && !k.versioned(key) {
			k.stored[key] = Row{Key: key, Gone: true, Position: freshness.Position}
			k.rows[key] = row
			passed = append(passed, row)
		}
	}
	k.handler.Snapshot(passed, freshness)
}

// kept returns what to pass on for a row of a snapshot, given the rows that were known before, and records it.
func (k *Keeper) kept(now clock.Millis, known map[string]Row, row Row) Row {
	before, was := known[row.Key]
	ofFormerEra := was && now < k.until && before.Position.Era < row.Position.Era
	if ofFormerEra && !k.versioned(row.Key) && !bytes.Equal(before.Value, row.Value) {
		k.stored[row.Key] = row
		k.rows[row.Key] = before
		return before
	}
	row = k.atFormerPosition(now, before, row)
	k.rows[row.Key] = row
	return row
}

// atFormerPosition returns a row at the position at which the same value was passed on in a former era, if it was
// written again within RewriteTime or is read once more.
func (k *Keeper) atFormerPosition(now clock.Millis, before, row Row) Row {
	rewritten := now < k.until && before.Position.Known() && before.Position.Era < row.Position.Era
	if !bytes.Equal(before.Value, row.Value) || !rewritten && k.positions[row.Key] != row.Position {
		delete(k.positions, row.Key)
		return row
	}
	k.positions[row.Key] = row.Position
	row.Position = before.Position
	return row
}

// Changed passes changes on, and the rows that were kept once RewriteTime is over.
func (k *Keeper) Changed(rows []Row, freshness Freshness) {
	now := k.clock.Now()
	var passed []Row
	for _, row := range rows {
		delete(k.stored, row.Key)
		passed = append(passed, k.changed(now, row))
	}
	if now >= k.until {
		for key, row := range k.stored {
			delete(k.stored, key)
			passed = append(passed, k.changed(now, row))
		}
	}
	k.handler.Changed(passed, freshness)
}

// changed records a change and returns what to pass on for it.
func (k *Keeper) changed(now clock.Millis, row Row) Row {
	before := k.rows[row.Key]
	if row.Gone {
		delete(k.rows, row.Key)
		delete(k.positions, row.Key)
		return row
	}
	row = k.atFormerPosition(now, before, row)
	k.rows[row.Key] = row
	return row
}

// ReadFailed passes a failure on.
func (k *Keeper) ReadFailed(err error) { k.handler.ReadFailed(err) }
