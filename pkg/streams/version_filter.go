package streams

import (
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// versionFilter marks the targets at whose versions no stream may begin yet, as the record of their service does not name
// them, and does so again when the target list or a record changes.
type versionFilter struct {
	clock    clock.Clock
	records  *recordView
	streams  func(ids.Service) bool
	onChange func(*routing.Directory) // called with the lock held, so in order; nil until set

	mu       sync.Mutex
	listed   []*routing.Target // as listed; nil before the first list
	versions map[serviceVersion]*listedVersion
	held     int // targets that are marked
}

// serviceVersion is a version of a service.
type serviceVersion struct {
	service ids.Service
	version ids.Version
}

// listedVersion is a version that is listed, or was not long ago.
type listedVersion struct {
	at       history.Position // at which its first target was listed
	declared bool             // streams may begin there
	// returned says that streams might begin there until it was not listed for a while.
	returned bool
	goneAt   clock.Millis // since when it is not listed; 0 while it is
}

// staysRecorded is for how long a version that is not listed any more is certainly not taken off the record: its owner may
// have seen it go a little earlier than this entry.
const staysRecorded = settledAfter - clock.Minute

func newVersionFilter(c clock.Clock, records *recordView, streams func(ids.Service) bool) *versionFilter {
	return &versionFilter{clock: c, records: records, streams: streams, versions: make(map[serviceVersion]*listedVersion)}
}

// setDirectory takes a new target list.
func (f *versionFilter) setDirectory(d *routing.Directory) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = d.All()
	f.track()
	f.publish()
}

// track keeps the versions that are listed, and those that were not long ago.
func (f *versionFilter) track() {
	now := f.clock.Now()
	former := f.versions
	f.versions = make(map[serviceVersion]*listedVersion)
	for _, t := range f.listed {
		key := serviceVersion{t.Service, t.Version}
		at := history.FromOrdinal(t.ListedRevision)
		known, listed := f.versions[key], former[key]
		switch {
		case known != nil:
		case listed != nil && listed.goneAt == 0:
			known = listed
		default:
			known = &listedVersion{at: at, returned: listed != nil && now-listed.goneAt <= staysRecorded}
		}
		if !known.declared && at.Before(known.at) {
			known.at = at
		}
		f.versions[key] = known
	}
	for key, v := range former {
		if f.versions[key] != nil || !v.declared {
			continue
		}
		if v.goneAt == 0 {
			v.goneAt = now
		}
		if now-v.goneAt <= staysRecorded {
			f.versions[key] = v
		}
	}
}

// refresh marks the targets anew. Without a change of a record that is of use only while some are marked.
func (f *versionFilter) refresh(changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listed != nil && (changed || f.held > 0) {
		f.publish()
	}
}

// publish passes on the directory with its marks. The lock is held.
func (f *versionFilter) publish() {
	list := make([]*routing.Target, 0, len(f.listed))
	f.held = 0
	streams := make(map[ids.Service]bool)
	for _, t := range f.listed {
		has, known := streams[t.Service]
		if !known {
			has = f.streams(t.Service)
			streams[t.Service] = has
		}
		if has && !f.mayBegin(t) {
			copied := *t
			copied.Undeclared = true
			t = &copied
			f.held++
		}
		list = append(list, t)
	}
	if f.onChange != nil {
		f.onChange(routing.NewDirectory(list))
	}
}

// mayBegin reports whether streams may begin at the version of a target. Once they may, the version stays so as long as it
// is listed: an entry that takes it off the record has seen that it is not. The lock is held.
func (f *versionFilter) mayBegin(t *routing.Target) bool {
	v := f.versions[serviceVersion{t.Service, t.Version}]
	if v.declared {
		return true
	}
	readTo, read := f.records.readUpTo()
	stored, _ := f.records.of(t.Service)
	current := read && !readTo.Before(v.at) // a record that was written after the version was listed has been read
	if stored.record == nil {
		v.declared = current
	} else {
		v.declared = stored.record.names(t.Version) && (current || v.returned)
	}
	return v.declared
}

// heldTargets returns how many targets are marked.
func (f *versionFilter) heldTargets() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}
