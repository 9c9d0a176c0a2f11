package follow

import (
	"fmt"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
)

const (
	// faultLines is how many lines about faulty rows a table writes at once, and faultPause
	// how long it takes until it may write one more: whoever writes faulty rows, and however
	// many, the log stays readable.
	faultLines = 10
	faultPause = clock.Second
	// mostQuoted bounds what is quoted of a row's key and of an error, in bytes: both may
	// be of another writer's making.
	mostQuoted = 80
)

// Faults keeps account of the rows of one table that cannot be used, such as those of
// another writer: each revision of one is counted and logged once.
type Faults struct {
	common.Common
	table string

	mu       sync.Mutex
	standing map[string]int64 // revisions of the faulty rows, by key
	owed     clock.Millis     // each line moves it on by faultPause, at most up to the present
	unlogged int              // since the last line
}

// NewFaults returns the account of a table, by the name that operators read.
func NewFaults(c common.Common, table string) *Faults {
	f := &Faults{Common: c, table: table, standing: make(map[string]int64)}
	c.Metrics.Prometheus.LabelledGauge("faulty_rows", "table", table, func() float64 { return float64(f.Count()) })
	return f
}

// Standing is how many rows cannot be used.
func (f *Faults) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.standing)
}

// Note notes a row that cannot be used, and why.
func (f *Faults) Add(row Row, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision, known := f.standing[row.Key]; known && revision == row.Version {
		return
	}
	f.standing[row.Key] = row.Version
	f.Metrics.Prometheus.Add("faulty_rows_seen", "table", f.table)
	now := f.Clock.Now()
	f.owed = max(f.owed, now-faultLines*faultPause)
	if f.owed > now-faultPause {
		f.unlogged++
		return
	}
	f.owed += faultPause
	f.Log.WithField("row", quoted(row.Key)).WithField("revision", row.Version).WithField("fault", quoted(err.Error())).
		WithField("unlogged", f.unlogged).Warn("a row cannot be used")
	f.unlogged = 0
}

func quoted(text string) string { return fmt.Sprintf("%.*q", mostQuoted, text) }

// Sound notes that a row can be used again, or is gone.
func (f *Faults) Clear(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.standing, key)
}

// Retain forgets the rows that are not among all rows of the table.
func (f *Faults) Retain(all []Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.standing) == 0 {
		return
	}
	present := make(map[string]bool, len(all))
	for _, row := range all {
		present[row.Key] = true
	}
	for key := range f.standing {
		if !present[key] {
			delete(f.standing, key)
		}
	}
}
