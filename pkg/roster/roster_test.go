package roster_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/commontest"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/roster"
	"quaydock/pkg/routing"
)

func parse(id string, document []byte) (*routing.Target, error) {
	if len(document) == 0 {
		return nil, errors.New("empty")
	}
	return &routing.Target{ID: ids.Target(id), Service: "s", Leaving: string(document) == "leaving"}, nil
}

type bed struct {
	common.Common
	*roster.List

	mu        sync.Mutex
	directory *routing.Directory
}

func newBed() *bed {
	b := &bed{Common: commontest.New(network.NewMemory(nil))}
	b.List = roster.New(b.Common, parse, func(d *routing.Directory) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.directory = d
	})
	return b
}

func (b *bed) now() follow.Freshness {
	return follow.Freshness{AskedAt: b.Clock.Now(), CurrentAt: b.Clock.Now()}
}

func (b *bed) lists(id ids.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.directory.Serving("s") {
		if t.ID == id {
			return true
		}
	}
	return false
}

func up(ids ...string) []follow.Row {
	var rows []follow.Row
	for _, id := range ids {
		rows = append(rows, follow.Row{Key: id, Value: []byte("up")})
	}
	return rows
}

func faulty() []follow.Row { return []follow.Row{{Key: "a"}} }

func gone() []follow.Row {
	return []follow.Row{{Key: "a", Gone: true}}
}

func TestRoster(t *testing.T) {
	away := errors.New("away")
	scenarios := []struct {
		name string
		do   func(b *bed)
		want bool // whether "a" may get work at the end
	}{
		{"a target that leaves gets nothing more", func(b *bed) {
			b.Changed([]follow.Row{{Key: "a", Value: []byte("leaving")}}, b.now())
		}, false},
		{"a target that is gone is off at once", func(b *bed) {
			b.Changed(gone(), b.now())
		}, false},
		{"a target missing in the whole list is off at once", func(b *bed) {
			b.Snapshot(up("b"), b.now())
		}, false},
		{"an entry that lapsed in an outage is kept for a while", func(b *bed) {
			b.ReadFailed(away)
			b.Changed(gone(), b.now())
			time.Sleep(2 * time.Second)
		}, true},
		{"it is gone if it does not come back", func(b *bed) {
			b.ReadFailed(away)
			b.Snapshot(up("b"), b.now())
			time.Sleep(2500 * time.Millisecond)
		}, false},
		{"it stays if it comes back", func(b *bed) {
			b.ReadFailed(away)
			b.Changed(gone(), b.now())
			time.Sleep(time.Second)
			b.Changed(up("a"), b.now())
			time.Sleep(5 * time.Second)
		}, true},
		{"long after the outage, gone is gone", func(b *bed) {
			b.ReadFailed(away)
			b.Changed(nil, b.now())
			time.Sleep(3 * time.Second)
			b.Changed(gone(), b.now())
		}, false},
		// The first question after an outage was held for 3 s, and a target that
		// left in that time was kept for another 2.2 s.
		{"the store was back when the question was sent", func(b *bed) {
			b.ReadFailed(away)
			asked := b.Clock.Now()
			time.Sleep(3 * time.Second)
			b.Changed(gone(), follow.Freshness{AskedAt: asked, CurrentAt: b.Clock.Now()})
		}, false},
		{"a row that cannot be used names no target", func(b *bed) {
			b.Changed(faulty(), b.now())
		}, false},
		{"nor does it in the whole list", func(b *bed) {
			b.Snapshot(append(faulty(), up("b")...), b.now())
		}, false},
		{"nor while lapsed entries may still come back", func(b *bed) {
			b.ReadFailed(away)
			b.Changed(gone(), b.now())
			b.Changed(faulty(), b.now())
		}, false},
		{"nor once it is gone while they may", func(b *bed) {
			b.Changed(faulty(), b.now())
			b.ReadFailed(away)
			b.Changed(gone(), b.now())
		}, false},
		{"the target's own row is back", func(b *bed) {
			b.Changed(faulty(), b.now())
			b.Changed(up("a"), b.now())
		}, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed()
				b.Snapshot(up("a", "b"), b.now())
				time.Sleep(clock.Second.Duration())
				s.do(b)
				synctest.Wait()
				if got := b.lists("a"); got != s.want {
					t.Errorf("offered: %t", got)
				}
				if !b.lists("b") {
					t.Error("another target was lost")
				}
			})
		})
	}
}

// TestARowsFirstRevisionIsKept has a target's row change, at one time to another writer's: it was there from its
// first revision on.
func TestARowsFirstRevisionIsKept(t *testing.T) {
	var got *routing.Directory
	r := roster.New(commontest.New(network.NewMemory(nil)), func(id string, document []byte) (*routing.Target, error) {
		if len(document) > 0 {
			return nil, errors.New("faulty")
		}
		return &routing.Target{ID: ids.Target(id)}, nil
	}, func(d *routing.Directory) { got = d })
	r.Snapshot([]follow.Row{{Key: "a", Version: 7}}, follow.Freshness{})
	r.Changed([]follow.Row{{Key: "a", Version: 19}, {Key: "b", Version: 20}}, follow.Freshness{})
	r.Changed([]follow.Row{{Key: "a", Version: 21, Value: []byte("faulty")}}, follow.Freshness{})
	r.Changed([]follow.Row{{Key: "a", Version: 22}}, follow.Freshness{})
	for id, want := range map[ids.Target]int64{"a": 7, "b": 20} {
		if listed := got.Target(id).ListedRevision; listed != want {
			t.Errorf("%s is listed from %d on, want %d", id, listed, want)
		}
	}
}

// TestASecondOutageHasATimeOfItsOwn has a target lapse in one outage, come back, and lapse in the next: it
// was dropped in the middle of the second time for coming back, by the end of the first.
func TestASecondOutageHasATimeOfItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed()
		b.Snapshot(up("a", "b"), b.now())
		lapse := func() {
			b.ReadFailed(errors.New("away"))
			b.Changed(gone(), b.now())
		}
		lapse()
		time.Sleep(500 * time.Millisecond)
		b.Changed(up("a"), b.now())
		time.Sleep(1200 * time.Millisecond)
		lapse()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if !b.lists("a") {
			t.Error("dropped before the time for coming back was over")
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if b.lists("a") {
			t.Error("still listed after it")
		}
	})
}

// TestLinesOfManyTargets: in a day of 50 s 411 processes wrote 244,465 lines of targets that were listed, most in the
// seconds in which all targets started. What changes by itself still takes a line each.
func TestLinesOfManyTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		c := commontest.New(network.NewMemory(nil))
		c.Log.Logger.SetOutput(&log)
		r := roster.New(c, parse, func(*routing.Directory) {})
		r.Snapshot(up("first"), follow.Freshness{})
		lines := func() int { return strings.Count(log.String(), "\n") }
		before := lines()
		for n := range 900 {
			r.Changed(up(fmt.Sprint("t", n)), follow.Freshness{})
			time.Sleep(time.Second / 300)
		}
		if got := lines() - before; got > 4*11 {
			t.Errorf("%d lines for 900 targets within three seconds", got)
		}
		if !strings.Contains(log.String(), "left out") {
			t.Error("nothing tells how many were left out")
		}
		time.Sleep(time.Minute)
		before = lines()
		for n := range 20 {
			r.Changed([]follow.Row{{Key: fmt.Sprint("t", n), Value: []byte("leaving")}}, follow.Freshness{})
			r.Changed([]follow.Row{{Key: fmt.Sprint("t", n), Gone: true}}, follow.Freshness{})
			time.Sleep(time.Second)
		}
		if got := lines() - before; got < 40 {
			t.Errorf("%d lines for 20 targets that leave one after the other and go", got)
		}
	})
}
