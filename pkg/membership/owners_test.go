package membership_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/commontest"
	"quaydock/pkg/follow"
	"quaydock/pkg/membership"
	"quaydock/pkg/network"
	"quaydock/pkg/packets"
)

func TestAllAgreeOnTheHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equal(6)...)
		time.Sleep(2 * time.Second)
		homes := map[netip.AddrPort]int{}
		for n := range 60 {
			matter := fmt.Sprint("matter/", n)
			home, _ := b.members[0].Home(matter)
			homes[home]++
			for i, m := range b.members {
				if got, self := m.Home(matter); got != home || self != (home == address(i)) {
					t.Fatalf("entry %d: home of %s is %v, not %v", i, matter, got, home)
				}
			}
		}
		if len(homes) != 6 {
			t.Errorf("matters went to %d of 6 entries", len(homes))
		}
	})
}

// TestTheNextIsTheHomeWithoutTheFirst takes a home away: the one that it named as the
// next has become the home.
func TestTheNextIsTheHomeWithoutTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, 1, 2, 3, 4, 5)
		time.Sleep(time.Second)
		const matter = "matter"
		home, _ := b.members[0].HeavyHome(matter)
		for i, m := range b.members {
			if address(i) != home {
				continue
			}
			next, others := m.HeavyNext(matter)
			b.cut(i)
			time.Sleep(2 * time.Second)
			if got, _ := b.members[(i+1)%len(b.members)].HeavyHome(matter); !others || got != next {
				t.Errorf("the next was to be %v, it is %v", next, got)
			}
			if _, others := m.HeavyNext(matter); others {
				t.Error("one that hears nobody names a next")
			}
		}
	})
}

func TestWeakEntriesGetFewMatters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, 0.8, 0.8, 0.144, 0.144, 0.144, 0.144)
		time.Sleep(2 * time.Second)
		weak := 0
		const matters = 500
		for n := range matters {
			home, _ := b.members[0].Home(fmt.Sprint("matter/", n))
			if home != address(0) && home != address(1) {
				weak++
			}
		}
		if weak > matters/8 {
			t.Errorf("%d of %d matters went to weak entries", weak, matters)
		}
	})
}

func TestAmongManyADoubtedHomeIsLeftAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equal(80)...)
		time.Sleep(10 * time.Second)
		home, self := b.members[0].Home("matter")
		if self {
			home, _ = b.members[1].Home("another")
		}
		// An answer to the doubt could come before the next line.
		b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == home || to == home })
		b.members[0].Doubt(home)
		if got, _ := b.members[0].Home("matter"); got == home {
			t.Error("a home that does not answer is asked on")
		}
		b.net.Lose(nil)
		time.Sleep(5 * time.Second)
		if got, _ := b.members[0].Home("matter"); got != home && !self {
			t.Error("it is not taken for the home again once it was heard")
		}
	})
}

// TestOneDoubtedForNothingIsTakenBackAtOnce doubts an entry that lives, as when it was late
// by a few ms: until it is heard, the doubting one is alone with its idea of who lives and
// backs nobody.
func TestOneDoubtedForNothingIsTakenBackAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equal(80)...)
		time.Sleep(10 * time.Second)
		b.members[0].Doubt(address(7))
		time.Sleep(10 * time.Millisecond)
		for i, m := range b.members {
			if got := m.Backing(); got != 1 {
				t.Fatalf("entry %d is backed by %v", i, got)
			}
		}
	})
}

// TestASilentHomeIsLeftAndTakenAgain asks for a home all the time, so that what is
// kept of the answer must not outlast the home, nor its return.
func TestASilentHomeIsLeftAndTakenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equal(4)...)
		time.Sleep(2 * time.Second)
		asker := b.members[0]
		var matter string
		for n := 0; ; n++ {
			matter = fmt.Sprint("matter/", n)
			if home, _ := asker.Home(matter); home == address(3) {
				break
			}
		}
		until := func(want bool) time.Duration {
			began := time.Now()
			for time.Since(began) < 3*time.Second {
				if home, _ := asker.Home(matter); (home == address(3)) == want {
					return time.Since(began)
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Fatalf("the home did not change (wanted back: %t)", want)
			return 0
		}
		b.cut(3)
		if took := until(false); took > 600*time.Millisecond {
			t.Errorf("a silent home was left after %v", took)
		}
		b.net.Lose(nil)
		if took := until(true); took > 400*time.Millisecond {
			t.Errorf("a home that is back was taken again after %v", took)
		}
	})
}

func BenchmarkHome(b *testing.B) {
	c := commontest.New(network.NewMemory(nil))
	link := packets.NewLink(c, packets.NewMemory().Socket(address(0)))
	m := membership.New(c, membership.Self{Name: "entry-000", Address: address(0), Weight: 1}, &rows{}, link)
	var listed []follow.Row
	for i := range 30 {
		listed = append(listed, follow.Row{Key: fmt.Sprintf("entry-%03d", i), Value: fmt.Appendf(nil, `{"address":%q,"weight":1}`, address(i).String())})
	}
	m.Whole(listed, follow.Proof{})
	for b.Loop() {
		m.Home("targets/service")
	}
}
