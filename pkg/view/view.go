// Package view holds what an entry believes of the deployment: the
// configuration, the targets, and how old the proof of each is.
package view

import (
	"sync"
	"sync/atomic"

	"quaydock/pkg/clock"
	"quaydock/pkg/invariant"
	"quaydock/pkg/routing"
)

// View is read by every request and written by the followers of the store.
type View struct {
	check     *invariant.Checker
	catalog   atomic.Pointer[routing.Catalog]
	directory atomic.Pointer[routing.Directory]
	provenAt  atomic.Int64
	known     chan struct{} // closed once there are a proven configuration and targets
	once      sync.Once

	mu     sync.Mutex // held while the list of targets is replaced
	before []func(*routing.Directory)
	after  []func(*routing.Directory)
}

// New returns an empty view.
func New(check *invariant.Checker) *View {
	return &View{check: check, known: make(chan struct{})}
}

// Catalog returns the configuration in force, or nil before the first.
func (v *View) Catalog() *routing.Catalog {
	return v.catalog.Load()
}

// Directory returns the targets, or nil before the first list.
func (v *View) Directory() *routing.Directory {
	return v.directory.Load()
}

// SetCatalog puts a configuration in force unless it is older than the present
// one; it reports whether it did.
func (v *View) SetCatalog(c *routing.Catalog) bool {
	before := v.catalog.Load()
	if before != nil && before.Revision >= c.Revision {
		return false
	}
	swapped := v.catalog.Swap(c)
	v.check.That(swapped == nil || swapped.Revision < c.Revision, invariant.RevisionUpward, "revision %d", c.Revision)
	v.noteKnown()
	return true
}

// Watch has a function told of each list of targets before anything is placed by it.
func (v *View) Watch(told func(*routing.Directory)) {
	v.watch(&v.before, told)
}

// WatchAfter has a function told of each list of targets once requests are placed by it: a request that the
// function sends elsewhere then finds the new targets.
func (v *View) WatchAfter(told func(*routing.Directory)) {
	v.watch(&v.after, told)
}

func (v *View) watch(watchers *[]func(*routing.Directory), told func(*routing.Directory)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	*watchers = append(*watchers, told)
	if d := v.directory.Load(); d != nil {
		told(d)
	}
}

// SetDirectory replaces the list of targets.
func (v *View) SetDirectory(d *routing.Directory) {
	v.mu.Lock()
	for _, told := range v.before {
		told(d)
	}
	v.directory.Store(d)
	for _, told := range v.after {
		told(d)
	}
	v.mu.Unlock()
	v.noteKnown()
}

// Known is closed once there are a proven configuration and a list of targets.
func (v *View) Known() <-chan struct{} { return v.known }

func (v *View) noteKnown() {
	if v.catalog.Load() != nil && v.directory.Load() != nil && v.provenAt.Load() > 0 {
		v.once.Do(func() { close(v.known) })
	}
}

// Proven notes that the configuration in force was the newest at a moment.
func (v *View) Confirmed(at clock.Millis) {
	if v.provenAt.Load() < int64(at) {
		v.provenAt.Store(int64(at))
		v.noteKnown()
	}
}

// Age is how long ago the configuration in force was surely the newest.
func (v *View) Age(now clock.Millis) clock.Millis {
	return now - clock.Millis(v.provenAt.Load())
}
