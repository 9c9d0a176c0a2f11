package membership_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/follow"
)

func TestASilentEntryIsTakenOffTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equal(4)...)
		time.Sleep(2 * time.Second)
		b.cut(3)
		time.Sleep(5 * time.Second)
		if _, removed := b.rows.count("entry-003"); removed != 0 {
			t.Error("taken off after 5 s")
		}
		time.Sleep(6 * time.Second)
		if _, removed := b.rows.count("entry-003"); removed == 0 {
			t.Error("still listed after 11 s")
		}
	})
}

func TestOneTakenOffByMistakeComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equal(2)...)
		time.Sleep(2 * time.Second)
		before, _ := b.rows.count("entry-001")
		b.members[1].Changed([]follow.Row{{Key: "entry-001", Gone: true}}, follow.Proof{})
		time.Sleep(2 * time.Second)
		if after, _ := b.rows.count("entry-001"); after <= before {
			t.Error("its row was not written again")
		}
		if n := b.members[1].Entries(); n != 2 {
			t.Errorf("%d entries", n)
		}
	})
}

// TestWhoStays stops entries one after the other: when less than half of them stay, those
// that are being stopped know.
func TestWhoStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equal(4)...)
		time.Sleep(time.Second)
		for i, want := range []bool{false, false, true} {
			b.members[i].Leave()
			time.Sleep(100 * time.Millisecond)
			if got := b.members[i].FewStay(); got != want {
				t.Errorf("%d of 4 are being stopped: few stay %t, want %t", i+1, got, want)
			}
		}
	})
}
