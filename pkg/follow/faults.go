package follow

import (
	"fmt"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/history"
)

const (
	// maxBurstLines is how many log lines about faulty rows a table may write at once, and
	// linePause how long it takes until it may write one more. The log stays readable however
	// many faulty rows another writer makes.
	maxBurstLines = 10
	linePause     = clock.Second
	// maxQuoted limits what is quoted of a row's key and of an error, in characters: both may
	// come from another writer.
	maxQuoted = 80
)

// Faults tracks the rows of one table that cannot be used, such as those of another writer: each
// revision of such a row is counted and logged once. It is safe for concurrent use.
type Faults struct {
	common.Common
	table string

	mu             sync.Mutex                  // guards the fields below
	faulty         map[string]history.Position // where the faulty rows were written, by key
	linesPaidUntil clock.Millis                // moves on by linePause with each line; the next may come once it is that long ago
	unlogged       int                         // faulty revisions without a line since the last line
}

// NewFaults returns the tracker of a table, under the table name in metrics, and registers its gauge.
func NewFaults(c common.Common, table string) *Faults {
	f := &Faults{Common: c, table: table, faulty: make(map[string]history.Position)}
	c.Metrics.Prometheus.LabelledGauge("faulty_rows", "table", table, func() float64 { return float64(f.Count()) })
	return f
}

// Count returns how many rows cannot be used at present.
func (f *Faults) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.faulty)
}

// Add records a row that cannot be used, and why. It counts and logs the row unless that revision was recorded before.
func (f *Faults) Add(row Row, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision, known := f.faulty[row.Key]; known && revision == row.Position {
		return
	}
	f.faulty[row.Key] = row.Position
	f.Metrics.Prometheus.Add("faulty_rows_seen", "table", f.table)
	now := f.Clock.Now()
	f.linesPaidUntil = max(f.linesPaidUntil, now-maxBurstLines*linePause)
	if f.linesPaidUntil > now-linePause {
		f.unlogged++
		return
	}
	f.linesPaidUntil += linePause
	f.Log.WithField("row", quoted(row.Key)).WithField("revision", row.Position.String()).WithField("fault", quoted(err.Error())).
		WithField("unlogged", f.unlogged).Warn("a row cannot be used")
	f.unlogged = 0
}

// quoted quotes a text from another writer, up to maxQuoted characters of it.
func quoted(text string) string { return fmt.Sprintf("%.*q", maxQuoted, text) }

// Clear records that a row can be used again, or has been deleted.
func (f *Faults) Clear(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.faulty, key)
}

// Retain drops the faulty rows that are not in a snapshot of the table.
func (f *Faults) Retain(snapshot []Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faulty) == 0 {
		return
	}
	present := make(map[string]bool, len(snapshot))
	for _, row := range snapshot {
		present[row.Key] = true
	}
	for key := range f.faulty {
		if !present[key] {
			delete(f.faulty, key)
		}
	}
}
