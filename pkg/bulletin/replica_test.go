package bulletin

import (
	"fmt"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
)

func batch(version int64, rows ...follow.Row) follow.Batch {
	return follow.Batch{Version: version, StoreTime: clock.Millis(version), Rows: rows}
}

// TestAReaderThatOnlyListenedClaimsNoMoreThanItKnows has an entry read, listen to
// another for a while, and read again: it must not tell that nothing has changed since
// its first turn.
func TestAReaderThatOnlyListenedClaimsNoMoreThanItKnows(t *testing.T) {
	var x table
	x.replica.replace(batch(90))
	x.replica.apply(90, batch(100))                        // read
	x.replica.apply(100, batch(150, follow.Row{Key: "k"})) // heard
	x.replica.apply(150, batch(160))                       // heard
	x.replica.apply(160, batch(170))                       // read again
	m := x.message("t", 10*clock.Second)
	if _, found := m.since(120, 0); found != missed {
		t.Errorf("one that knows version 120 is told %v, want %v", found, missed)
	}
	if _, found := m.since(155, 0); found != told {
		t.Errorf("one that knows version 155 is told %v, want %v", found, told)
	}
}

func TestWhatAReplicaPassesOn(t *testing.T) {
	var r replica
	if _, has := r.whole(); has {
		t.Error("an empty replica passes a table on")
	}
	r.replace(batch(10, follow.Row{Key: "a", Value: []byte("1")}, follow.Row{Key: "b", Value: []byte("1")}))
	r.apply(10, batch(20, follow.Row{Key: "a", Value: []byte("2")}))
	r.apply(20, batch(30, follow.Row{Key: "b", Gone: true}, follow.Row{Key: "c", Value: []byte("1")}))
	scenarios := []struct {
		after int64
		known bool
		keys  int
	}{
		{5, false, 0}, {10, true, 3}, {20, true, 2}, {25, true, 2}, {30, true, 0}, {31, false, 0},
	}
	for _, s := range scenarios {
		got, known := r.since(s.after)
		if known != s.known || len(got.Rows) != s.keys {
			t.Errorf("since %d: known %t, %d rows", s.after, known, len(got.Rows))
		}
	}
	if whole, has := r.whole(); !has || len(whole.Rows) != 2 || whole.Version != 30 {
		t.Errorf("the whole table: %t, %v", has, whole)
	}
	r.apply(50, batch(60)) // what lies between is not known
	if _, has := r.whole(); has {
		t.Error("a table with a gap is passed on whole")
	}
}

// TestAWholeReadThatChangesNothingIsNoChange reads the same table again, as is done now
// and then in case that the store lost a change: the others need not fetch anything.
func TestAWholeReadThatChangesNothingIsNoChange(t *testing.T) {
	var r replica
	row := follow.Row{Key: "a", Value: []byte("1")}
	r.replace(batch(10, row))
	if r.replace(batch(20, row)) || r.last != 10 || r.to != 20 {
		t.Errorf("changed; last %d, to %d", r.last, r.to)
	}
	if !r.replace(batch(30, follow.Row{Key: "b", Value: []byte("1")})) {
		t.Error("a difference was not seen")
	}
	changes, known := r.since(20)
	if !known || len(changes.Rows) != 2 {
		t.Errorf("known %t, %v", known, changes.Rows)
	}
}

func TestMarksOfRowsThatAreGoneAreBounded(t *testing.T) {
	var r replica
	r.replace(batch(1))
	for i := range int64(3 * mostGone) {
		r.apply(1+i, batch(2+i, follow.Row{Key: fmt.Sprint(i), Gone: true}))
	}
	if len(r.rows) > mostGone {
		t.Errorf("%d marks", len(r.rows))
	}
	if _, known := r.since(1); known {
		t.Error("changes are passed on of which some are forgotten")
	}
	if got, known := r.since(r.to - 10); !known || len(got.Rows) != 10 {
		t.Errorf("known %t, %d rows", known, len(got.Rows))
	}
}
