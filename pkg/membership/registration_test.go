package membership_test

import (
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/follow"
	"quaydock/pkg/packets"
)

// revised gives the rows of the list revisions in their order.
func (b *bed) revised() {
	for i := range b.listed {
		b.listed[i].Version = int64(100 + i)
	}
}

// joining starts an entry that stands on no list yet, beside those that are listed.
func (b *bed) joining(i int, listed []follow.Row) {
	m := b.build(i)
	m.Snapshot(listed, follow.Freshness{})
}

// TestTheRowsOfManyAreWrittenTogether: 385 entries that started within 0.3 s each wrote their own row; the store took 200
// a second, turned 565 away, and each of these asked again. What proved that: all calls of a day without disruption came
// before the first request, and most of them were writes of one table.
func TestTheRowsOfManyAreWrittenTogether(t *testing.T) {
	scenarios := []struct {
		name    string
		hurt    func(b *bed)
		most    int  // writes
		written bool // by others
	}{
		{"the one that was listed first writes them", nil, 6, true},
		{"it is gone, and the next one does", func(b *bed) { b.cut(0) }, 6, true},
		{"three are gone, and each writes its own", func(b *bed) {
			b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool {
				gone := []netip.AddrPort{address(0), address(1), address(2)}
				return slices.Contains(gone, from) || slices.Contains(gone, to)
			})
		}, 250, false},
		{"a tenth of all datagrams is lost", func(b *bed) {
			var sent atomic.Int64
			b.net.Lose(func(netip.AddrPort, netip.AddrPort, packets.Kind) bool { return sent.Add(1)%10 == 0 })
		}, 20, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const there, all = 4, 250
				b := prepare(t, equal(all)...)
				b.revised()
				for i := range there {
					m := b.build(i)
					m.Snapshot(b.listed[:there], follow.Freshness{})
				}
				time.Sleep(2 * time.Second)
				if s.hurt != nil {
					s.hurt(b)
				}
				for i := there; i < all; i++ {
					b.joining(i, b.listed[:there])
				}
				time.Sleep(1200 * time.Millisecond) // nothing tells them that they are listed, so that later they ask again
				writes := b.rows.writes()
				if writes > s.most {
					t.Errorf("%d writes for %d entries", writes, all-there)
				}
				for i := there; i < all; i++ {
					if puts, _ := b.rows.count(fmt.Sprintf("entry-%03d", i)); puts == 0 {
						t.Fatalf("the row of entry %d was not written", i)
					}
				}
				for _, rows := range b.rows.lots {
					if rows > 100 {
						t.Errorf("%d rows at once", rows)
					}
				}
				if together := len(b.rows.lots) > 0; together != s.written {
					t.Errorf("written by others: %t", together)
				}
			})
		})
	}
}

// TestARegistrarThatCannotWrite: the store turns the registrar away, or it ends before it writes. Who is not listed
// in time asks again, and writes its own row in the end.
func TestARegistrarThatCannotWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const there, all = 4, 20
		b := prepare(t, equal(all)...)
		b.revised()
		b.rows.failLots(true)
		for i := range there {
			m := b.build(i)
			m.Snapshot(b.listed[:there], follow.Freshness{})
		}
		time.Sleep(2 * time.Second)
		for i := there; i < all; i++ {
			b.joining(i, b.listed[:there])
		}
		time.Sleep(6 * time.Second)
		for i := there; i < all; i++ {
			if puts, _ := b.rows.count(fmt.Sprintf("entry-%03d", i)); puts == 0 {
				t.Errorf("the row of entry %d was not written", i)
			}
		}
	})
}

// TestOneThatJoinsIsInChargeOfNothing: an entry that has not read that it is listed is no reader, no head of a failure domain,
// and greets nobody, so that nobody waits for what it does not do.
func TestOneThatJoinsIsInChargeOfNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := prepare(t, 1, 1, 1, 50)
		b.revised()
		for i := range 3 {
			b.members = append(b.members, b.build(i))
			b.members[i].Snapshot(b.listed[:3], follow.Freshness{})
		}
		time.Sleep(2 * time.Second)
		joins := b.build(3)
		joins.Snapshot(b.listed[:3], follow.Freshness{})
		for _, m := range b.members {
			m.Changed(b.listed[3:], follow.Freshness{})
		}
		time.Sleep(500 * time.Millisecond)
		if _, self := joins.FeedReader("store"); self {
			t.Error("it is the reader")
		}
		if rank, seniority := joins.FeedReaderRank("store"); rank != 3 || seniority != 3 {
			t.Errorf("rank %d, seniority %d", rank, seniority)
		}
		if _, self := joins.DomainOwner("store"); self {
			t.Error("it is the head of its failure domain")
		}
		if home, _ := b.members[0].Owner("m"); home == address(3) {
			t.Error("others take it for a home")
		}
		joins.Changed(b.listed[3:], follow.Freshness{})
		time.Sleep(500 * time.Millisecond)
		if home, _ := b.members[0].HeavyOwner("m"); home != address(3) {
			t.Error("once it has read that it is listed, the strongest is not the home")
		}
	})
}
