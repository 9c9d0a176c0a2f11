package membership_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
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
		b.members[1].Changed([]follow.Row{{Key: "entry-001", Gone: true}}, follow.Freshness{})
		time.Sleep(2 * time.Second)
		if after, _ := b.rows.count("entry-001"); after <= before {
			t.Error("its row was not written again")
		}
		if n, known := b.members[1].Entries(); n != 2 || known {
			t.Errorf("%d entries, known %t", n, known)
		}
		if share, backing := b.members[1].Share(), b.members[1].Agreement(); share != 0 || backing != 0 {
			t.Errorf("share %g and backing %g without a row: the others may have shared them out", share, backing)
		}
	})
}

// TestOnlyAListedEntryHasAPart has an entry start that is cut off from the others, with and
// without the list, and with a list on which it does not stand.
func TestOnlyAListedEntryHasAPart(t *testing.T) {
	scenarios := []struct {
		name    string
		read    []int // which entries stand on the list that it has read; nil if it has read none
		share   float64
		backing float64
	}{
		{"no list was read", nil, 0, 0},
		{"an empty list", []int{}, 0, 0},
		{"the others alone", []int{1, 2, 3}, 0, 0},
		{"all", []int{0, 1, 2, 3}, 0.25, 0.25},
		{"itself alone", []int{0}, 1, 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := prepare(t, equal(4)...)
				m := b.build(0)
				m.SetGrace(trust)
				if s.read != nil {
					var listed []follow.Row
					for _, i := range s.read {
						listed = append(listed, b.listed[i])
					}
					m.Snapshot(listed, follow.Freshness{})
				}
				// Long enough for a lease to begin that nobody gives.
				time.Sleep(20 * time.Second)
				if m.Share() != s.share || m.Agreement() != s.backing {
					t.Errorf("share %g and backing %g, want %g and %g", m.Share(), m.Agreement(), s.share, s.backing)
				}
				alone := s.share == 1
				if got := m.HoldsLease(b.Clock.Now() - clock.Second); got != alone {
					t.Errorf("assured %t, want %t", got, alone)
				}
			})
		})
	}
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
			if got := b.members[i].MinorityRemains(); got != want {
				t.Errorf("%d of 4 are being stopped: few stay %t, want %t", i+1, got, want)
			}
		}
	})
}
