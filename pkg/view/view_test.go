package view_test

import (
	"testing"

	"quaydock/pkg/commontest"
	"quaydock/pkg/network"
	"quaydock/pkg/routing"
	"quaydock/pkg/view"
)

// TestWatcherOrder guards against a repeatable request that is reported as lost although its target has
// started again and would run it. The call to the former incarnation was aborted when the new directory
// came, and the request looked for another target just before that directory was in place.
func TestWatcherOrder(t *testing.T) {
	v := view.New(commontest.New(network.NewMemory(nil)).Check)
	directory := routing.NewDirectory(nil)
	var before, after *routing.Directory
	v.Watch(func(*routing.Directory) { before = v.Directory() })
	v.WatchAfter(func(*routing.Directory) { after = v.Directory() })
	v.SetDirectory(directory)
	if before != nil || after != directory {
		t.Errorf("watcher before placement saw %v, watcher after it saw %v", before, after)
	}
	var late []*routing.Directory
	v.Watch(func(d *routing.Directory) { late = append(late, d) })
	v.WatchAfter(func(d *routing.Directory) { late = append(late, d) })
	if len(late) != 2 || late[0] != directory || late[1] != directory {
		t.Errorf("watchers registered later were notified of %v", late)
	}
}
