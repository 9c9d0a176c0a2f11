package streams

import (
	"sync"

	"quaydock/pkg/history"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// versionFilter marks the targets at whose versions no stream may begin yet, as the record of their service does not name
// them, and does so again when the target list or a record changes.
type versionFilter struct {
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

// listedVersion is a version that has been listed without a gap.
type listedVersion struct {
	at       history.Position // at which its first target was listed
	declared bool             // streams may begin there
}

func newVersionFilter(records *recordView, streams func(ids.Service) bool) *versionFilter {
	return &versionFilter{records: records, streams: streams, versions: make(map[serviceVersion]*listedVersion)}
}

// setDirectory takes a new target list.
func (f *versionFilter) setDirectory(d *routing.Directory) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = d.All()
	f.track()
	f.publish()
}

// track keeps the versions that are listed.
func (f *versionFilter) track() {
	present := make(map[serviceVersion]*listedVersion)
	for _, t := range f.listed {
		key := serviceVersion{t.Service, t.Version}
		at := history.FromOrdinal(t.ListedRevision)
		known := present[key]
		if known == nil {
			known = f.versions[key]
		}
		switch {
		case known == nil:
			known = &listedVersion{at: at}
		case !known.declared && at.Before(known.at):
			known.at = at
		}
		present[key] = known
	}
	f.versions = present
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
	for _, t := range f.listed {
		if !f.mayBegin(t) {
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
	if v.declared || !f.streams(t.Service) {
		return true
	}
	readTo, read := f.records.readUpTo()
	stored, _ := f.records.of(t.Service)
	// A record that was written after the version was listed must have been read.
	v.declared = read && !readTo.Before(v.at) && (stored.record == nil || stored.record.names(t.Version))
	return v.declared
}

// heldTargets returns how many targets are marked.
func (f *versionFilter) heldTargets() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}
