package rollout

import (
	"sync"

	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// Filter sets the admission of each target by its version, and does so again whenever the target list or the known
// orders and records change.
type Filter struct {
	tracker  *Tracker
	onUpdate func(*routing.Directory) // called with the lock held, so in order

	mu     sync.Mutex        // guards the fields below
	listed []*routing.Target // as last set, before the filter; nil until then
	// undecided says that some target is withheld only because it is not known yet whether an order for its version
	// exists.
	undecided bool
}

// NewFilter returns a filter without targets that calls onUpdate with each new directory.
func NewFilter(tracker *Tracker, onUpdate func(*routing.Directory)) *Filter {
	return &Filter{tracker: tracker, onUpdate: onUpdate}
}

// SetDirectory replaces the target list.
func (f *Filter) SetDirectory(d *routing.Directory) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = d.All()
	f.update()
}

// Refresh evaluates the list again after orders or records have changed.
func (f *Filter) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listed != nil {
		f.update()
	}
}

// RefreshUndecided evaluates the list again if a target is undecided. It is called when the store has confirmed,
// without a change, that the orders are known up to a later revision.
func (f *Filter) RefreshUndecided() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.undecided {
		f.update()
	}
}

// update sets the admission of each listed target and passes on the directory. The caller holds the lock.
func (f *Filter) update() {
	versions := make(map[ids.Service]ids.Version)
	mixed := make(map[ids.Service]bool)
	for _, t := range f.listed {
		if other, seen := versions[t.Service]; seen && other != t.Version {
			mixed[t.Service] = true
		}
		versions[t.Service] = t.Version
	}
	f.undecided = false
	list := make([]*routing.Target, 0, len(f.listed))
	for _, t := range f.listed {
		admission := f.tracker.Admission(t, mixed[t.Service])
		if admission == routing.Withheld && !f.tracker.withheldByDecision(t) {
			f.undecided = true
		}
		if admission != t.Admission {
			copied := *t
			copied.Admission = admission
			t = &copied
		}
		list = append(list, t)
	}
	f.onUpdate(routing.NewDirectory(list))
}
