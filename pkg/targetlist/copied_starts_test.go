package targetlist_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/commontest"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/routing"
	"quaydock/pkg/targetlist"
)

// Guards against answers that are broken off because the store has returned to the row of a target's former incarnation,
// which this process had never read.
func TestCopiedRowOfFormerIncarnationIsNoNewStart(t *testing.T) {
	// in returns the row of a target in an era; that of target "a" unless another one is named.
	in := func(era history.Era, version int64, start ids.Start) follow.Row {
		r := row{Start: start}.at(0)
		r.Position = history.At(era, version)
		return r
	}
	other := func(era history.Era, version int64) follow.Row {
		r := in(era, version, 10)
		r.Key = "b"
		return r
	}
	gone := follow.Row{Key: "a", Gone: true}
	invalid := func(version int64) follow.Row {
		return follow.Row{Key: "a", Value: []byte("{"), Position: history.At(4, version)}
	}
	// step is a snapshot or changes read at a time, and the start of the target that is listed then, 0 for none.
	type step struct {
		at       time.Duration
		snapshot bool
		era      history.Era
		rows     []follow.Row
		start    ids.Start
	}
	const snapshot, changes = true, false
	scenarios := []struct {
		name  string
		steps []step
	}{
		{"an earlier start", []step{
			{0, snapshot, 4, []follow.Row{in(4, 50, 60)}, 60},
			{time.Second, snapshot, 5, []follow.Row{in(5, 30, 50)}, 60},
			{4 * time.Second, changes, 5, []follow.Row{in(5, 90, 60)}, 60},
			{20 * time.Second, changes, 5, nil, 60},
		}},
		{"an earlier start, and its row stays", []step{
			{0, snapshot, 4, []follow.Row{in(4, 50, 60)}, 60},
			{time.Second, snapshot, 5, []follow.Row{in(5, 30, 50)}, 60},
			{10 * time.Second, changes, 5, nil, 60},
			{12 * time.Second, changes, 5, nil, 50},
		}},
		{"a later start by a clock that was set back since; another row was not written again since the copy", []step{
			{0, snapshot, 4, []follow.Row{in(4, 50, 40), other(4, 45)}, 40},
			{time.Second, snapshot, 5, []follow.Row{in(5, 30, 50), other(5, 45)}, 40},
			{4 * time.Second, changes, 5, []follow.Row{in(5, 90, 40)}, 40},
		}},
		{"its later incarnation had gone", []step{
			{0, snapshot, 4, []follow.Row{in(4, 50, 60)}, 60},
			{time.Second, changes, 4, []follow.Row{gone}, 0},
			{2 * time.Second, snapshot, 5, []follow.Row{in(5, 30, 50)}, 0},
			{4 * time.Second, changes, 5, []follow.Row{gone}, 0},
		}},
		{"it was read while its row was invalid, and had gone", []step{
			{0, snapshot, 4, []follow.Row{in(4, 30, 50)}, 50},
			{time.Second, changes, 4, []follow.Row{invalid(40)}, 0},
			{time.Second, changes, 4, []follow.Row{gone}, 0},
			{time.Second, changes, 4, []follow.Row{in(4, 50, 40)}, 40},
			{2 * time.Second, snapshot, 5, []follow.Row{in(5, 30, 50)}, 40},
		}},
		{"the store returns twice, the second time from a copy of between", []step{
			{0, snapshot, 4, []follow.Row{in(4, 50, 40), other(4, 45)}, 40},
			{time.Second, snapshot, 5, []follow.Row{in(5, 30, 50), other(5, 45)}, 40},
			{2 * time.Second, changes, 5, []follow.Row{in(5, 85, 40), other(5, 86)}, 40},
			{3 * time.Second, snapshot, 6, []follow.Row{in(6, 30, 50), other(6, 46)}, 40},
			{4 * time.Second, changes, 6, []follow.Row{in(6, 90, 40)}, 40},
		}},
		{"it has started again while the store was away", []step{
			{0, snapshot, 4, []follow.Row{in(4, 50, 60), other(4, 40)}, 60},
			{time.Second, snapshot, 5, []follow.Row{in(5, 44, 70), other(5, 40)}, 70},
		}},
		{"it has started again just before the copy, by a clock that was set back", []step{
			{0, snapshot, 4, []follow.Row{in(4, 50, 60)}, 60},
			{time.Second, snapshot, 5, []follow.Row{in(5, 55, 40)}, 40},
		}},
		{"it has started again while the store was away, by a clock that was set back", []step{
			{0, snapshot, 4, []follow.Row{in(4, 50, 60)}, 60},
			{time.Second, snapshot, 5, []follow.Row{in(5, 44, 40)}, 60},
			{4 * time.Second, changes, 5, []follow.Row{in(5, 90, 40)}, 40},
		}},
		{"it starts again after the return, by a clock that was set back", []step{
			{0, snapshot, 4, []follow.Row{in(4, 50, 60)}, 60},
			{time.Second, snapshot, 5, []follow.Row{in(5, 30, 50)}, 60},
			{2 * time.Second, changes, 5, []follow.Row{in(5, 90, 40)}, 40},
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := commontest.New(network.NewMemory(nil))
				var got atomic.Pointer[routing.Directory] // the list's timers publish too
				l := targetlist.New(c, parseRow, got.Store)
				began := time.Now()
				for _, next := range s.steps {
					time.Sleep(next.at - time.Since(began))
					fresh := follow.Freshness{RequestedAt: c.Clock.Now(), CurrentAt: c.Clock.Now(), Position: history.At(next.era, 80)}
					if next.snapshot {
						l.Snapshot(next.rows, fresh)
					} else {
						l.Changed(next.rows, fresh)
					}
					var start ids.Start
					if a := got.Load().Target("a"); a != nil {
						start = a.Start
					}
					if start != next.start {
						t.Errorf("start %d after %v, %d expected", start, next.at, next.start)
					}
				}
			})
		})
	}
}
