// Package view holds an entry's view of the deployment: the configuration in force and how long ago it
// was confirmed as the newest, and the targets.
package view

import (
	"sync"
	"sync/atomic"

	"quaydock/pkg/clock"
	"quaydock/pkg/invariant"
	"quaydock/pkg/routing"
)

// View is read by every request and written by the followers of the store. It is safe for concurrent use, but only one
// goroutine may call SetCatalog and Confirmed.
type View struct {
	check       *invariant.Checker
	catalog     atomic.Pointer[routing.Catalog]   // nil before the first
	directory   atomic.Pointer[routing.Directory] // nil before the first
	confirmedAt atomic.Int64                      // in clock.Millis; 0 before the first confirmation
	known       chan struct{}                     // closed once there are a confirmed configuration and targets
	once        sync.Once                         // closes known

	mu     sync.Mutex                 // held while the directory is replaced and the watchers are called
	before []func(*routing.Directory) // called before the directory is replaced; see Watch
	after  []func(*routing.Directory) // called after that; see WatchAfter
}

// New returns an empty view.
func New(check *invariant.Checker) *View {
	return &View{check: check, known: make(chan struct{})}
}

// Catalog returns the configuration in force, or nil before the first.
func (v *View) Catalog() *routing.Catalog {
	return v.catalog.Load()
}

// Directory returns the targets, or nil before the first directory.
func (v *View) Directory() *routing.Directory {
	return v.directory.Load()
}

// SetCatalog puts a configuration in force unless its revision is not above the present one. It reports
// whether it did.
func (v *View) SetCatalog(c *routing.Catalog) bool {
	before := v.catalog.Load()
	if before != nil && before.Revision >= c.Revision {
		return false
	}
	swapped := v.catalog.Swap(c)
	v.check.Verify(swapped == nil || swapped.Revision < c.Revision, invariant.RevisionUpward, "revision %d", c.Revision)
	v.closeKnown()
	return true
}

// Watch registers a function that is notified of each directory before requests are placed by it. It is
// called at once with the present directory, if there is one. It is called under the lock that Watch, WatchAfter and
// SetDirectory take, so it must not call them.
func (v *View) Watch(notify func(*routing.Directory)) {
	v.watch(&v.before, notify)
}

// WatchAfter registers a function that is notified of each directory once requests are placed by it: a
// request that the function re-dispatches then finds the new targets. It is called at once with the
// present directory, if there is one, and like the functions of Watch under the lock.
func (v *View) WatchAfter(notify func(*routing.Directory)) {
	v.watch(&v.after, notify)
}

// watch adds a watcher to before or after, and calls it with the present directory, if there is one.
func (v *View) watch(watchers *[]func(*routing.Directory), notify func(*routing.Directory)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	*watchers = append(*watchers, notify)
	if d := v.directory.Load(); d != nil {
		notify(d)
	}
}

// SetDirectory replaces the directory of targets and notifies the watchers.
func (v *View) SetDirectory(d *routing.Directory) {
	v.mu.Lock()
	for _, notify := range v.before {
		notify(d)
	}
	v.directory.Store(d)
	for _, notify := range v.after {
		notify(d)
	}
	v.mu.Unlock()
	v.closeKnown()
}

// Known returns a channel that is closed once there are a confirmed configuration and a directory.
func (v *View) Known() <-chan struct{} { return v.known }

// closeKnown closes the channel known once all that it stands for is there.
func (v *View) closeKnown() {
	if v.catalog.Load() != nil && v.directory.Load() != nil && v.confirmedAt.Load() > 0 {
		v.once.Do(func() { close(v.known) })
	}
}

// Confirmed records that the configuration in force was the newest at a moment; earlier moments than the last are
// ignored.
func (v *View) Confirmed(at clock.Millis) {
	if v.confirmedAt.Load() < int64(at) {
		v.confirmedAt.Store(int64(at))
		v.closeKnown()
	}
}

// Age returns how long ago the configuration in force was last confirmed as the newest; before the first confirmation
// it returns now.
func (v *View) Age(now clock.Millis) clock.Millis {
	return now - clock.Millis(v.confirmedAt.Load())
}
