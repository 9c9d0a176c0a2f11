package metering_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/follow"
)

// TestRestartOfAllEntriesStaysWithinLimit loses every entry in the middle of an account's burst: what the new ones
// give out, to which nothing was reported, stays within the limit.
func TestRestartOfAllEntriesStaysWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		first := deployMany(ctx, entries, largeAccount(), largeBounds)
		time.Sleep(8 * time.Second) // the burst is full
		all := first.demandUnits(ctx, 3*time.Second, largeUnits)
		for range 2 { // each serves nothing for the second that it takes to find the others
			d := deployMany(ctx, entries, largeAccount(), largeBounds)
			all = append(all, d.demandUnits(ctx, 3*time.Second, largeUnits)...)
		}
		checkMaxInWindow(t, all, largeMax)
	})
}

// TestEntriesWithoutEntryListStayWithinLimit plays a start of all entries beside a store that answers for a moment
// only. Users saw a client account use 1.4% more than its limit in 8 s. The account asked for far more than its
// limit and was kept within it; all four entries were killed; when they started, the store reset every call, answered
// for some 40 ms, and reset them again. In that moment each entry read configuration and targets, but not the list of
// entries, whose first read had failed. An entry without the list took itself for the only one and gave out the whole
// limit: from then on the metrics of all four showed one entry listed and an agreement of 1, where four were listed
// before the kill and after the store's return.
func TestEntriesWithoutEntryListStayWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		first := deployMany(ctx, entries, largeAccount(), largeBounds)
		time.Sleep(8 * time.Second) // the burst is full
		all := first.demandUnits(ctx, 3*time.Second, largeUnits)
		d := deployUnlisted(ctx, entries, largeAccount(), largeBounds)
		all = append(all, d.demandUnits(ctx, 3*time.Second, largeUnits)...)
		d.readList()
		time.Sleep(time.Second)
		known := d.demandUnits(ctx, 2*time.Second, largeUnits)
		all = append(all, known...)
		checkMaxInWindow(t, all, largeMax)
		served := total(known)
		if lowest := 0.9 * 2 * largeRate; served < lowest {
			t.Errorf("%.0f taken in 2 s once the list is known, want at least %.0f", served, lowest)
		}
	})
}

// TestFirstStartStaysWithinLimit starts all entries for the first time, when each writes its own row: an entry first
// reads a list without itself, then learns of those that were there before it, and of the later ones half a second
// later, as where only others reach the store.
func TestFirstStartStaysWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		d := deployUnlisted(ctx, entries, largeAccount(), largeBounds)
		for i, m := range d.members {
			m.Snapshot(firstRows(i), follow.Freshness{})
			time.AfterFunc(100*time.Millisecond, func() { m.Changed([]follow.Row{row(i)}, follow.Freshness{}) })
			time.AfterFunc(600*time.Millisecond, func() { m.Changed(firstRows(entries)[i+1:], follow.Freshness{}) })
		}
		all := d.demandUnits(ctx, 9*time.Second, largeUnits)
		checkMaxInWindow(t, all, largeMax)
	})
}

// TestUnlimitedAccountIsServedWithoutEntryList has an account without a limit, of which entries need no share.
func TestUnlimitedAccountIsServedWithoutEntryList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		account := largeAccount()
		account.PerSecond = 0
		d := deployUnlisted(ctx, entries, account, largeBounds)
		for i, m := range d.meters {
			if taken, _ := m.Take(ctx, account, largeRate, 0); !taken {
				t.Errorf("entry %d refused an account without a limit", i)
			}
		}
	})
}
