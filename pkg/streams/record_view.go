package streams

import (
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
)

const (
	// maxViewAge is how old the records may be, as read here, for copies of origins to be needless where there is only one
	// version. The feed reader reads them once a second at least.
	maxViewAge = 1500 * clock.Millisecond
	// maxToldAge is how old they may be to be told to other entries that can't read the store.
	maxToldAge = 300 * clock.Millisecond
)

// recordView is the records as this entry has read them. The zero value has read nothing.
type recordView struct {
	mu        sync.Mutex
	read      bool             // a snapshot was read
	position  history.Position // up to which they were read
	currentAt clock.Millis     // when they were last known to be current
	services  map[ids.Service]storedRecord
	changed   chan struct{} // closed and replaced by the next change; nil while nobody waits
	// start are the records that other entries had written when the system started for the first time.
	start map[ids.Service]history.Position
}

// storedRecord is a row of the store.
type storedRecord struct {
	at     history.Position // at which it was written; not Known if there is no row
	record *Record          // nil if there is none that says something in the present era
}

// same reports whether both are the same row.
func (s storedRecord) same(other storedRecord) bool {
	return s.at == other.at && (s.record == nil) == (other.record == nil)
}

// recordChange is a record that was read with another content than before.
type recordChange struct {
	service ids.Service
	stored  storedRecord
}

// apply applies rows, whose keys are services; all says that they are a snapshot. It returns the records that have
// changed, and the rows that could not be parsed with their errors.
func (v *recordView) apply(rows []follow.Row, all bool, f follow.Freshness) (changes []recordChange, faults map[string]error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.services
	if all {
		v.read = true
		v.services = make(map[ids.Service]storedRecord, len(rows))
	}
	if v.services == nil {
		v.services = make(map[ids.Service]storedRecord)
	}
	v.position = history.Latest(v.position, f.Position)
	v.currentAt = max(v.currentAt, f.CurrentAt)
	faults = make(map[string]error)
	for _, row := range rows {
		service := ids.Service(row.Key)
		stored := storedRecord{}
		if !row.Gone {
			record, err := ParseRecord(row.Value)
			if err != nil {
				faults[row.Key] = err
			}
			stored = storedRecord{at: row.Position, record: record}
		}
		if stored.record != nil && stored.record.Era != v.position.Era {
			stored.record = nil
		}
		if !before[service].same(stored) {
			changes = append(changes, recordChange{service, stored})
		}
		v.services[service] = stored
	}
	for service := range before {
		if _, present := v.services[service]; !present {
			changes = append(changes, recordChange{service, storedRecord{}})
		}
	}
	if len(changes) > 0 && v.changed != nil {
		close(v.changed)
		v.changed = nil
	}
	return changes, faults
}

// of returns the record of a service, and whether the records have been read at all.
func (v *recordView) of(service ids.Service) (stored storedRecord, read bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.services[service], v.read
}

// readUpTo returns the position up to which the records were read, and whether they were read at all.
func (v *recordView) readUpTo() (history.Position, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.position, v.read
}

// age returns for how long the records may have changed without this entry having read it.
func (v *recordView) age(now clock.Millis) clock.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now - v.currentAt
}

// mayBegin reports whether streams of a route may begin at a service: no other one's record has the route. If not, the
// channel is closed by the next change.
func (v *recordView) mayBegin(route ids.Route, service ids.Service) (may bool, changed <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for other, stored := range v.services {
		if other != service && stored.record != nil && stored.record.has(route) {
			if v.changed == nil {
				v.changed = make(chan struct{})
			}
			return false, v.changed
		}
	}
	return true, nil
}

// hasUnconfirmed reports whether a record is not complete, or has announced routes.
func (v *recordView) hasUnconfirmed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, stored := range v.services {
		if r := stored.record; r != nil && (!r.Complete || len(r.Announced) > 0) {
			return true
		}
	}
	return false
}

// all returns the records that say something in the present era, by service, and whether all rows do.
func (v *recordView) all() (list map[ids.Service]storedRecord, valid bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	list, valid = make(map[ids.Service]storedRecord), true
	for service, stored := range v.services {
		if stored.record != nil {
			list[service] = stored
			continue
		}
		valid = valid && !stored.at.Known() // the row is gone
	}
	return list, valid
}

// setStart records that the present records were written while the system started for the first time.
func (v *recordView) setStart() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.start = make(map[ids.Service]history.Position)
	for service, stored := range v.services {
		v.start[service] = stored.at
	}
}

// isOfStart reports whether the record of a service at a position was written while the system started for the first time.
func (v *recordView) isOfStart(service ids.Service, at history.Position) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	started, found := v.start[service]
	return found && started == at
}
