package rollout_test

import (
	"fmt"
	"testing"

	"quaydock/pkg/ids"
	"quaydock/pkg/rollout"
	"quaydock/pkg/routing"
)

const service = ids.Service("s")

func order(version ids.Version, placed rollout.Revision) rollout.Order {
	return rollout.Order{Service: service, Version: version, Within: 30000, Placed: placed}
}

func proof(up rollout.Revision) rollout.Freshness {
	return rollout.Freshness{At: 1000 + 10*int64ToMillis(up), StoreTime: 10 * int64ToMillis(up), ReadAt: 1000 + 10*int64ToMillis(up), Revision: up}
}

// TestAdmission tells which targets may get work, as a process reads orders and records in one
// order or the other. Old targets run v1 and are listed at revision 1, new ones v2 at 12; the order
// for v2 is placed at 10.
func TestAdmission(t *testing.T) {
	record := func(version ids.Version, of rollout.Revision, state rollout.State, written rollout.Revision, barred ...ids.Version) rollout.Record {
		return rollout.Record{Service: service, Version: version, Order: of, State: state, Written: written, LatestEnd: 500, Barred: barred}
	}
	type reads struct {
		orders  []rollout.Order
		up      rollout.Revision
		records []rollout.Record
	}
	const admitted, trial, withheld = routing.Admitted, routing.OnTrial, routing.Withheld
	scenarios := []struct {
		name     string
		reads    []reads
		old, new routing.Admission
		newest   ids.Version // of the new targets, v2 if empty
	}{
		{"nothing is read yet", nil, withheld, withheld, ""},
		{"orders are known up to before the new targets", []reads{{up: 11}}, admitted, withheld, ""},
		{"an ordinary release: there is no order", []reads{{up: 12}}, admitted, admitted, ""},
		{"ordered, and nothing is decided", []reads{{up: 5}, {orders: []rollout.Order{order("v2", 10)}, up: 12}}, admitted, withheld, ""},
		{"the trial runs", []reads{{orders: []rollout.Order{order("v2", 10)}, up: 12, records: []rollout.Record{record("v2", 10, rollout.Running, 13)}}}, admitted, trial, ""},
		{"rolled back", []reads{{orders: []rollout.Order{order("v2", 10)}, up: 20, records: []rollout.Record{record("v2", 10, rollout.RolledBack, 15)}}}, admitted, withheld, ""},
		{"rolled back, and the order's row is gone", []reads{{up: 20, records: []rollout.Record{record("v2", 10, rollout.RolledBack, 15)}}}, admitted, withheld, ""},
		{"completed: the old ones have stopped", []reads{{orders: []rollout.Order{order("v2", 10)}, up: 20, records: []rollout.Record{record("v2", 10, rollout.Completed, 15)}}}, withheld, admitted, ""},
		{"ordered anew after a roll-back", []reads{{orders: []rollout.Order{order("v2", 18)}, up: 20, records: []rollout.Record{record("v2", 10, rollout.RolledBack, 15)}}}, admitted, withheld, ""},
		{"ordered anew, and on trial", []reads{{orders: []rollout.Order{order("v2", 18)}, up: 20, records: []rollout.Record{record("v2", 18, rollout.Running, 19)}}}, admitted, trial, ""},
		{"another version was ordered instead", []reads{{orders: []rollout.Order{order("v3", 18)}, up: 20, records: []rollout.Record{record("v3", 18, rollout.Running, 19, "v2")}}}, admitted, withheld, ""},
		{"the order's row is gone while the trial runs", []reads{{up: 20, records: []rollout.Record{record("v2", 10, rollout.Running, 15)}}}, admitted, withheld, ""},
		{"the record is of an order that was not read", []reads{{orders: []rollout.Order{order("v2", 10)}, up: 12, records: []rollout.Record{record("v3", 18, rollout.Running, 19, "v2")}}}, admitted, withheld, ""},
		{"an order seen once is remembered though its row goes", []reads{{orders: []rollout.Order{order("v2", 10)}, up: 11}, {up: 14}}, admitted, withheld, ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			b := rollout.NewTracker()
			for _, r := range s.reads {
				b.PutOrders(r.orders, nil, true, proof(r.up))
				b.PutRecords(r.records, proof(r.up))
			}
			old := &routing.Target{ID: "a", Service: service, Version: "v1", ListedRevision: 1}
			fresh := &routing.Target{ID: "b", Service: service, Version: "v2", ListedRevision: 12}
			if got := b.Admission(old, true); got != s.old {
				t.Errorf("the old version is %v, want %v", got, s.old)
			}
			if got := b.Admission(fresh, true); got != s.new {
				t.Errorf("the new version is %v, want %v", got, s.new)
			}
		})
	}
}

// TestOneRolloutAfterTheOther completes a version and orders the next one: what was completed serves
// on meanwhile, at an entry that has seen all of it and at one that begins.
func TestOneRolloutAfterTheOther(t *testing.T) {
	second := &routing.Target{ID: "b", Service: service, Version: "v2", ListedRevision: 12}
	third := &routing.Target{ID: "c", Service: service, Version: "v3", ListedRevision: 32}
	completed := rollout.Record{Service: service, Version: "v2", Order: 10, State: rollout.Completed, Written: 15}
	trial := rollout.Record{Service: service, Version: "v3", Order: 30, State: rollout.Running, Written: 35}
	seen := rollout.NewTracker()
	seen.PutOrders(nil, nil, true, proof(5))
	seen.PutOrders([]rollout.Order{order("v2", 10)}, nil, false, proof(12))
	seen.PutRecords([]rollout.Record{completed}, proof(15))
	started := rollout.NewTracker()
	for name, b := range map[string]*rollout.Tracker{"an entry that has seen all": seen, "an entry that begins": started} {
		b.PutOrders([]rollout.Order{order("v3", 30)}, nil, true, proof(33))
		b.PutRecords([]rollout.Record{trial}, proof(35))
		if got := b.Admission(second, true); got != routing.Admitted {
			t.Errorf("%s: what was completed is %v", name, got)
		}
		if got := b.Admission(third, true); got != routing.OnTrial {
			t.Errorf("%s: what is on trial is %v", name, got)
		}
	}
}

// TestAVersionThatRanAlreadyNeedsNoTrial orders the version that the whole service runs.
func TestAVersionThatRanAlreadyNeedsNoTrial(t *testing.T) {
	b := rollout.NewTracker()
	target := &routing.Target{ID: "a", Service: service, Version: "v1", ListedRevision: 1}
	b.PutOrders(nil, nil, true, proof(5))
	b.Admission(target, false)
	b.PutOrders([]rollout.Order{order("v1", 10)}, nil, false, proof(10))
	if got := b.Admission(target, false); got != routing.Admitted || !b.Established(service, "v1") {
		t.Errorf("it is %v", got)
	}
	if got := b.Admission(target, true); got != routing.Withheld {
		t.Errorf("beside another version it is %v", got)
	}
}

// TestACompletedVersionOpensAtTheOrdersEnd has a version completed before the time of its order is
// over: up to then what it gets counts.
func TestACompletedVersionOpensAtTheOrdersEnd(t *testing.T) {
	b := rollout.NewTracker()
	b.PutOrders([]rollout.Order{order("v2", 10)}, nil, true, proof(20)) // the store's clock is 1000 behind
	b.PutRecords([]rollout.Record{{Service: service, Version: "v2", Order: 10, State: rollout.Completed, Written: 15, LatestEnd: 500, Owner: 8, TimedByOwner: 7}}, proof(20))
	if opens, closed := b.OpensAt(service, 8, 1700); !closed || opens != 1750 {
		t.Errorf("at another home than the one that told the times, it is closed %t, up to %d", closed, opens)
	}
	for at, want := range map[int64]bool{1400: true, 1499: true, 1500: false} {
		if opens, closed := b.OpensAt(service, 7, int64ToMillis(at)); closed != want || opens != 1500 {
			t.Errorf("at %d it is closed %t, up to %d", at, closed, opens)
		}
	}
}

// TestAnOlderRecordChangesNothing has records come in the wrong order, as from a store that is read
// through others.
func TestAnOlderRecordChangesNothing(t *testing.T) {
	b := rollout.NewTracker()
	b.PutOrders([]rollout.Order{order("v2", 10)}, nil, true, proof(20))
	final := rollout.Record{Service: service, Version: "v2", Order: 10, State: rollout.RolledBack, Written: 17}
	b.PutRecords([]rollout.Record{final}, proof(20))
	b.PutRecords([]rollout.Record{{Service: service, Version: "v2", Order: 10, State: rollout.Running, Written: 15}}, proof(20))
	if r, _ := b.Record(service); r.State != rollout.RolledBack {
		t.Errorf("the record is %v again", r.State)
	}
	if _, _, open := b.OpenOrder(service); open {
		t.Error("the order is open again")
	}
}

// TestTimesOfAnOrder tells between which moments an order was placed.
func TestTimesOfAnOrder(t *testing.T) {
	scenarios := []struct {
		name          string
		before        rollout.Freshness // of the last read without the order
		read          rollout.Freshness
		started, over int64
	}{
		{"told at once", rollout.Freshness{At: 9000, ReadAt: 9000, Revision: 5}, rollout.Freshness{At: 10000, ReadAt: 10010, Revision: 10}, 9850, 40030},
		{"the last read was just before", rollout.Freshness{At: 9950, ReadAt: 9950, Revision: 5}, rollout.Freshness{At: 10000, ReadAt: 10010, Revision: 10}, 9950, 40030},
		{"the store was away", rollout.Freshness{At: 4000, ReadAt: 4000, Revision: 5}, rollout.Freshness{At: 10000, ReadAt: 10010, Revision: 10}, 4000, 40030},
		{"there at the first read", rollout.Freshness{}, rollout.Freshness{At: 10000, ReadAt: 10010, Revision: 10}, 10010, 40030},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			b := rollout.NewTracker()
			if s.before.Revision > 0 {
				b.PutOrders(nil, nil, true, s.before)
			}
			o := order("v2", 8)
			b.PutOrders([]rollout.Order{o}, nil, false, s.read)
			times := b.Times(o, rollout.Record{})
			if int64(times.Started) != s.started || int64(times.LatestEnd) != s.over || times.EarliestEnd != times.Started+o.Within {
				t.Errorf("%+v, want it to start at %d and be over at %d", times, s.started, s.over)
			}
			if got, want := b.FollowedBefore(o), s.before.Revision > 0; got != want {
				t.Errorf("witnessed %t", got)
			}
		})
	}
}

func ExampleOrder_Check() {
	o := rollout.Order{Service: "depths", Version: "v2"}
	fmt.Println(o.Check())
	// Output: order without a time
}

// TestVersionsThatAnotherWriterNamesDoNotPileUp has rows of targets name new services and versions
// again and again.
func TestVersionsThatAnotherWriterNamesDoNotPileUp(t *testing.T) {
	const many = 10_000
	for name, target := range map[string]func(i int) *routing.Target{
		"services": func(i int) *routing.Target {
			return &routing.Target{Service: ids.Service(fmt.Sprint("s", i)), Version: "v1"}
		},
		"versions": func(i int) *routing.Target {
			return &routing.Target{Service: "s", Version: ids.Version(fmt.Sprint("v", i))}
		},
	} {
		b := rollout.NewTracker()
		b.PutOrders(nil, nil, true, proof(12))
		remembered := 0
		for i := range many {
			one := target(i)
			if b.Admission(one, true) != routing.Admitted {
				t.Fatalf("%s: the %dth gets nothing", name, i)
			}
			if b.Established(one.Service, one.Version) {
				remembered++
			}
		}
		if remembered == 0 || remembered > 1000 {
			t.Errorf("%s: %d are remembered", name, remembered)
		}
	}
}
