package membership_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/commontest"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/membership"
	"quaydock/pkg/network"
	"quaydock/pkg/packets"
)

// rows counts what is written to the store's table of entries.
type rows struct {
	mu      sync.Mutex
	puts    map[string]int
	removed map[string]int
	// removing, if set, is told of each row that is removed.
	removing func(key string)
}

func (r *rows) Put(_ context.Context, key string, _ []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.puts[key]++
	return nil
}

func (r *rows) Remove(_ context.Context, key string) error {
	r.mu.Lock()
	r.removed[key]++
	told := r.removing
	r.mu.Unlock()
	if told != nil {
		told(key)
	}
	return nil
}

// count is how often the row of an entry was written and removed.
func (r *rows) count(key string) (puts, removed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.puts[key], r.removed[key]
}

type bed struct {
	common.Common
	ctx     context.Context
	net     *packets.Memory
	rows    *rows
	listed  []follow.Row
	weights []float64
	members []*membership.Members
}

func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7600", i/200, i%200+1))
}

// start runs entries of the given weights for a while.
func start(t *testing.T, weights ...float64) *bed {
	b := prepare(t, weights...)
	for i := range weights {
		b.members = append(b.members, b.run(i))
	}
	return b
}

// prepare returns entries none of which runs.
func prepare(t *testing.T, weights ...float64) *bed {
	ctx, stop := context.WithCancel(context.Background())
	b := &bed{
		Common: commontest.New(network.NewMemory(nil)), ctx: ctx, net: packets.NewMemory(),
		rows: &rows{puts: make(map[string]int), removed: make(map[string]int)}, weights: weights,
	}
	t.Cleanup(func() {
		stop()
		time.Sleep(10 * time.Second)
	})
	for i, w := range weights {
		value := fmt.Appendf(nil, `{"address":%q,"weight":%g}`, address(i).String(), w)
		b.listed = append(b.listed, follow.Row{Key: fmt.Sprintf("entry-%03d", i), Value: value})
	}
	return b
}

// run starts one entry, in place of any earlier run of it.
func (b *bed) run(i int) *membership.Members {
	m := b.build(i)
	m.Whole(b.listed, follow.Proof{})
	return m
}

// build starts one entry that has not read the list.
func (b *bed) build(i int) *membership.Members {
	link := packets.NewLink(b.Common, b.net.Socket(address(i)))
	m := membership.New(b.Common, membership.Self{Name: ids.Process(fmt.Sprintf("entry-%03d", i)), Address: address(i), Weight: b.weights[i]}, b.rows, link)
	go link.Run(b.ctx)
	go m.Run(b.ctx)
	return m
}

// restart has an entry begin anew; what its earlier run still sends is lost with it
// where the test has cut it off.
func (b *bed) restart(t *testing.T, i int) {
	t.Helper()
	b.members[i] = b.run(i)
	b.members[i].SetTrust(trust)
}

func (b *bed) cut(i int) {
	gone := address(i)
	b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == gone || to == gone })
}

func equal(n int) []float64 {
	list := make([]float64, n)
	for i := range list {
		list[i] = 1
	}
	return list
}

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

// TestEntriesThatStartAgreeSoon starts all at once, as after a loss of power: well
// before the second greeting by the clock each knows that all others take the same
// ones for alive.
func TestEntriesThatStartAgreeSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equal(6)...)
		time.Sleep(80 * time.Millisecond)
		for i, m := range b.members {
			if got := m.Backing(); got != 1 {
				t.Errorf("entry %d is backed by %v", i, got)
			}
		}
	})
}

// TestManyThatStartOneAfterTheOtherAgree starts entries over 300 ms, as VMs do after a loss
// of power. From the first on all name the same home, and once the last has greeted
// each is backed by all.
func TestManyThatStartOneAfterTheOtherAgree(t *testing.T) {
	for _, n := range []int{8, 68} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := prepare(t, equal(n)...)
				const matter = "account/a"
				var home netip.AddrPort
				for i := range n {
					m := b.run(i)
					b.members = append(b.members, m)
					at, _ := m.Home(matter)
					if i == 0 {
						home = at
					}
					if at != home {
						t.Errorf("entry %d takes %v for the home, not %v", i, at, home)
					}
					time.Sleep(300 * time.Millisecond / time.Duration(n))
				}
				time.Sleep(60 * time.Millisecond)
				least := 1.0
				for _, m := range b.members {
					least = min(least, m.Backing())
				}
				if least < 1 {
					t.Errorf("one is backed by %.2f", least)
				}
			})
		})
	}
}

// TestAStartOfAllCostsEachLittle counts what entries send when all start within 300 ms:
// when each greeted all others whenever it heard another one, one of 200 sent 1,774 datagrams in
// that second, one of 68 585.
func TestAStartOfAllCostsEachLittle(t *testing.T) {
	for _, n := range []int{8, 68, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := prepare(t, equal(n)...)
				sent := make(map[netip.AddrPort]int)
				var mu sync.Mutex
				b.net.Lose(func(from, _ netip.AddrPort, _ packets.Kind) bool {
					mu.Lock()
					defer mu.Unlock()
					sent[from]++
					return false
				})
				for i := range n {
					b.members = append(b.members, b.run(i))
					time.Sleep(300 * time.Millisecond / time.Duration(n))
				}
				time.Sleep(700 * time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				most := 0
				for _, count := range sent {
					most = max(most, count)
				}
				// A second of ordinary greetings, one round to all, an answer to each.
				if limit := 55 + 8*n; most > limit {
					t.Errorf("one sent %d datagrams in a second, at most %d are wanted", most, limit)
				} else {
					t.Log(most, "datagrams")
				}
				for i, m := range b.members {
					if m.Backing() < 1 {
						t.Fatalf("entry %d is backed by %v", i, m.Backing())
					}
				}
			})
		})
	}
}

// TestOneThatNeverStartsIsLeft starts all entries but one: it is taken for alive for a
// while, and then no more.
func TestOneThatNeverStartsIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := prepare(t, equal(5)...)
		for i := range 4 {
			b.members = append(b.members, b.run(i))
		}
		time.Sleep(1500 * time.Millisecond)
		for i, m := range b.members {
			if got, want := m.Backing(), 0.8; got != want {
				t.Errorf("entry %d is backed by %v, want %v", i, got, want)
			}
			for n := range 40 {
				if home, _ := m.Home(fmt.Sprint("matter/", n)); home == address(4) {
					t.Fatalf("entry %d takes the one that never started for a home", i)
				}
			}
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
		if n, known := b.members[1].Entries(); n != 2 || known {
			t.Errorf("%d entries, known %t", n, known)
		}
		if share, backing := b.members[1].Share(), b.members[1].Backing(); share != 0 || backing != 0 {
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
				m.SetTrust(trust)
				if s.read != nil {
					var listed []follow.Row
					for _, i := range s.read {
						listed = append(listed, b.listed[i])
					}
					m.Whole(listed, follow.Proof{})
				}
				// Long enough for a lease to begin that nobody gives.
				time.Sleep(20 * time.Second)
				if m.Share() != s.share || m.Backing() != s.backing {
					t.Errorf("share %g and backing %g, want %g and %g", m.Share(), m.Backing(), s.share, s.backing)
				}
				alone := s.share == 1
				if got := m.Assured(b.Clock.Now() - clock.Second); got != alone {
					t.Errorf("assured %t, want %t", got, alone)
				}
			})
		})
	}
}

func TestAmongManyADoubtedHomeIsLeftAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, equal(80)...)
		time.Sleep(10 * time.Second)
		home, self := b.members[0].Home("matter")
		if self {
			home, _ = b.members[1].Home("another")
		}
		b.members[0].Doubt(home)
		if got, _ := b.members[0].Home("matter"); got == home {
			t.Error("a home that does not answer is asked on")
		}
		time.Sleep(5 * time.Second)
		if got, _ := b.members[0].Home("matter"); got != home && !self {
			t.Error("it is not taken for the home again once it was heard")
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
