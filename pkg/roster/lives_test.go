package roster_test

import (
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/rollout"
	"quaydock/pkg/roster"
	"quaydock/pkg/routing"
)

// row is a row of target "a".
type row struct {
	Start   ids.Start
	Cold    clock.Millis
	Version ids.Version
	Address string
	Leaving bool
}

func (r row) at(revision int64) follow.Row {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return follow.Row{Key: "a", Value: value, Version: revision}
}

func parseRow(id string, document []byte) (*routing.Target, error) {
	var r row
	if err := json.Unmarshal(document, &r); err != nil {
		return nil, err
	}
	return &routing.Target{ID: ids.Target(id), Service: "s", Start: r.Start, ColdFor: r.Cold, Version: r.Version, Address: r.Address, Leaving: r.Leaving}, nil
}

// TestLivesOfATarget: a target that started again under its id counted as listed since its former
// life, so that roll-outs took it for an engine of before. What tells a new life is another
// start, whether higher or lower, and never the order in which rows are read.
func TestLivesOfATarget(t *testing.T) {
	first := row{Start: 50, Version: "v1", Address: "x:1"}
	scenarios := []struct {
		name   string
		rows   []follow.Row
		start  ids.Start
		listed int64
	}{
		{"its row changes", []follow.Row{first.at(7), row{Start: 50, Version: "v1", Address: "x:1", Leaving: true}.at(19)}, 50, 7},
		{"a later start", []follow.Row{first.at(7), row{Start: 60, Version: "v1", Address: "x:1", Leaving: false}.at(19)}, 60, 19},
		{"a lower start: the clock was set back", []follow.Row{first.at(7), row{Start: 40, Version: "v1", Address: "x:1", Leaving: false}.at(19)}, 40, 19},
		{"the former row is read once more, later", []follow.Row{first.at(7), row{Start: 40, Version: "v1", Address: "x:1", Leaving: false}.at(19), first.at(7)}, 40, 19},
		{"another start, at a revision that is not known", []follow.Row{first.at(7), row{Start: 40, Version: "v1", Address: "x:1", Leaving: false}.at(0)}, 40, 7},
		{"no start after one, and nothing else has changed", []follow.Row{first.at(7), row{Start: 0, Version: "v1", Address: "x:1", Leaving: true}.at(19)}, 50, 7},
		{"and then the same start again", []follow.Row{first.at(7), row{Start: 0, Version: "v1", Address: "x:1", Leaving: true}.at(19), first.at(21)}, 50, 7},
		{"and then another", []follow.Row{first.at(7), row{Start: 0, Version: "v1", Address: "x:1", Leaving: true}.at(19), row{Start: 60, Version: "v1", Address: "x:1", Leaving: false}.at(21)}, 60, 21},
		{"no start after one, and another address", []follow.Row{first.at(7), row{Start: 0, Version: "v1", Address: "x:2", Leaving: false}.at(19)}, 0, 19},
		{"no start after one, and another version", []follow.Row{first.at(7), row{Start: 0, Version: "v2", Address: "x:1", Leaving: false}.at(19)}, 0, 19},
		{"a start after none", []follow.Row{row{Start: 0, Version: "v1", Address: "x:1", Leaving: false}.at(7), first.at(19)}, 50, 19},
		{"never a start", []follow.Row{row{Start: 0, Version: "v1", Address: "x:1", Leaving: false}.at(7), row{Start: 0, Version: "v1", Address: "x:1", Leaving: true}.at(19)}, 0, 7},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var got *routing.Directory
			r := roster.New(commontest.New(network.NewMemory(nil)), parseRow, func(d *routing.Directory) { got = d })
			r.Snapshot(nil, follow.Freshness{})
			for _, row := range s.rows {
				r.Changed([]follow.Row{row}, follow.Freshness{})
			}
			a := got.Target("a")
			if a.Start != s.start || a.ListedRevision != s.listed {
				t.Errorf("start %d, listed from %d on; want %d, %d", a.Start, a.ListedRevision, s.start, s.listed)
			}
		})
	}
}

// TestAnEntryThatLapsesAndComesBackTellsItsLife has the store away, an entry lapse, and come back
// with the same start or another one.
func TestAnEntryThatLapsesAndComesBackTellsItsLife(t *testing.T) {
	scenarios := []struct {
		name   string
		back   ids.Start
		listed int64
	}{
		{"the same life", 50, 7},
		{"another life", 40, 19},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := commontest.New(network.NewMemory(nil))
				var got *routing.Directory
				r := roster.New(c, parseRow, func(d *routing.Directory) { got = d })
				now := func() follow.Freshness { return follow.Freshness{AskedAt: c.Clock.Now(), CurrentAt: c.Clock.Now()} }
				r.Snapshot([]follow.Row{row{Start: 50}.at(7)}, now())
				r.ReadFailed(errors.New("away"))
				time.Sleep(time.Second)
				r.Changed([]follow.Row{{Key: "a", Gone: true, Version: 12}}, now())
				if got.Target("a") == nil {
					t.Fatal("an entry that lapsed in an outage is not kept")
				}
				time.Sleep(time.Second)
				r.Changed([]follow.Row{row{Start: s.back}.at(19)}, now())
				time.Sleep(5 * time.Second)
				if a := got.Target("a"); a == nil || a.Start != s.back || a.ListedRevision != s.listed {
					t.Errorf("%+v", a)
				}
			})
		})
	}
}

// TestARestartOntoAnotherVersionIsANewEngineForRollouts: an engine that had started again under its id
// with the next version got all requests before any order was read: by the revision of its former
// life it counted as there before the orders that were known, and its version as one in use.
func TestARestartOntoAnotherVersionIsANewEngineForRollouts(t *testing.T) {
	book := rollout.NewTracker()
	book.PutOrders(nil, nil, true, rollout.Freshness{Revision: 10})
	var got *routing.Directory
	screen := rollout.NewFilter(book, func(d *routing.Directory) { got = d })
	r := roster.New(commontest.New(network.NewMemory(nil)), parseRow, screen.SetDirectory)
	r.Snapshot([]follow.Row{row{Start: 50, Version: "v1"}.at(7)}, follow.Freshness{})
	if a := got.Target("a").Admission; a != routing.Admitted {
		t.Fatalf("the former life is %v", a)
	}
	// The order is placed at 20 and not read yet.
	r.Changed([]follow.Row{row{Start: 40, Version: "v2"}.at(25)}, follow.Freshness{})
	if a := got.Target("a").Admission; a != routing.Withheld {
		t.Errorf("before the order is read, the new life is %v", a)
	}
	book.PutOrders([]rollout.Order{{Service: "s", Version: "v2", Within: 30000, Placed: 20}}, nil, true, rollout.Freshness{Revision: 30})
	screen.Changed()
	if a := got.Target("a").Admission; a != routing.Withheld {
		t.Errorf("once the order is read, the new life is %v", a)
	}
}

// TestAnOlderRowDoesNotBringATargetBack has a row become faulty and a page that was read before that
// come after it, as from a peer: it must not give a target work that its newest row does not name.
func TestAnOlderRowDoesNotBringATargetBack(t *testing.T) {
	var got *routing.Directory
	r := roster.New(commontest.New(network.NewMemory(nil)), parseRow, func(d *routing.Directory) { got = d })
	sound := row{Start: 50, Version: "v1"}
	faulty := follow.Row{Key: "a", Value: []byte("{"), Version: 10}
	steps := []struct {
		name   string
		row    follow.Row
		listed bool
	}{
		{"sound", sound.at(7), true},
		{"faulty, later", faulty, false},
		{"the sound one read once more", sound.at(7), false},
		{"sound again", sound.at(12), true},
		{"the faulty one read once more", faulty, true},
	}
	r.Snapshot(nil, follow.Freshness{})
	for _, s := range steps {
		r.Changed([]follow.Row{s.row}, follow.Freshness{})
		if listed := got.Target("a") != nil; listed != s.listed {
			t.Errorf("%s: listed %t", s.name, listed)
		}
	}
}

// TestForHowLongATargetIsCold has a target's row be read a second after the former one.
func TestForHowLongATargetIsCold(t *testing.T) {
	first := row{Start: 50, Cold: 3000}
	scenarios := []struct {
		name string
		next row
		left clock.Millis // of the time in which it is cold
	}{
		{"it tells the same", first, 2000},
		{"something else has changed", row{Start: 50, Cold: 3000, Leaving: true}, 2000},
		{"it tells what is left", row{Start: 50, Cold: 1900}, 1900},
		{"it is warm", row{Start: 50}, -1},
		{"it is cold for longer", row{Start: 50, Cold: 9000}, 9000},
		{"it has started again", row{Start: 60, Cold: 3000}, 3000},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := commontest.New(network.NewMemory(nil))
				var got *routing.Directory
				r := roster.New(c, parseRow, func(d *routing.Directory) { got = d })
				r.Snapshot([]follow.Row{first.at(7)}, follow.Freshness{})
				time.Sleep(time.Second)
				r.Changed([]follow.Row{s.next.at(9)}, follow.Freshness{})
				until := got.Target("a").ColdUntil
				if s.left < 0 && until != 0 || s.left >= 0 && until != c.Clock.Now()+s.left {
					t.Errorf("cold until %d, now it is %d", until, c.Clock.Now())
				}
			})
		})
	}
}
