package quarantine

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/commontest"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/packets"
	"quaydock/pkg/routing"
)

// fakePeers has the first entry as the home of everything.
type fakePeers struct {
	all  []netip.AddrPort
	self int
}

func (p *fakePeers) Others() []netip.AddrPort {
	var others []netip.AddrPort
	for i, a := range p.all {
		if i != p.self {
			others = append(others, a)
		}
	}
	return others
}

func (p *fakePeers) Owner(string) (netip.AddrPort, bool) { return p.all[0], p.self == 0 }

// fakeStore counts writes.
type fakeStore struct {
	mu      sync.Mutex
	version int64
	writes  []Write
}

func (s *fakeStore) Write(_ context.Context, w Write) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.writes = append(s.writes, w)
	return s.version, nil
}

// guardBed is the guards of a few entries that have read the store.
type guardBed struct {
	guards []*Guard
	store  *fakeStore
	net    *packets.Memory
}

func newGuardBed(t *testing.T, count int) *guardBed {
	b := &guardBed{store: &fakeStore{}, net: packets.NewMemory()}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		stop()
		time.Sleep(time.Minute)
	})
	var all []netip.AddrPort
	for i := range count {
		all = append(all, netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7600", i+1)))
	}
	for i := range count {
		c := commontest.New(network.NewMemory(nil))
		link := packets.NewLink(c, b.net.Socket(all[i]))
		g := New(Dependencies{Common: c, Address: all[i], Peers: &fakePeers{all: all, self: i}, Link: link, Store: b.store})
		g.ApplyRows(nil, nil, true)
		go link.Run(ctx)
		go g.Run(ctx)
		b.guards = append(b.guards, g)
	}
	synctest.Wait()
	return b
}

func request() Request { return Request{Digest: digest(1), Account: "acme", Route: "r"} }

func run(n int, again bool) Run { return Run{Request: request(), Incarnation: life(n), Again: again} }

// TestASuspectedRequestRunsOnceThingsHaveSettled: what ends one target of a failure domain ends the others within some ms.
// A run that begins before that is over says nothing of its request; one that begins later and ends its target does.
func TestASuspectedRequestRunsOnceThingsHaveSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newGuardBed(t, 2)
		enter := func(n int) *Permit {
			pass, refused := b.guards[n].Enter(context.Background(), request())
			if refused != nil {
				t.Fatalf("refused: %+v", refused)
			}
			return pass
		}
		first := time.Now()
		for n := range 4 {
			b.guards[0].Ended(run(n, false))
			time.Sleep(20 * time.Millisecond)
		}
		last := first.Add(60 * time.Millisecond)
		for n := range 2 { // the second entry was told by the first
			pass := enter(n)
			if waited := time.Since(last); waited < settleFor.Duration() || waited > 3*settleFor.Duration() {
				t.Errorf("entry %d: it runs %v after the last end", n, waited)
			}
			if !pass.Again {
				t.Errorf("entry %d: the run does not count as one more try", n)
			}
			pass.Release(true)
		}
		pass := enter(0)
		b.guards[0].Ended(run(9, pass.Again))
		pass.Release(true)
		if _, refused := b.guards[0].Enter(context.Background(), request()); refused == nil || !refused.Held {
			t.Errorf("after the end in a run of its own: %+v", refused)
		}
	})
}

// TestSuspectedRequestsRunInTurn: however many entries get tries of a request at a time, one runs. An
// entry that has asked the home three times without an answer goes by its own turns.
func TestSuspectedRequestsRunInTurn(t *testing.T) {
	var asks atomic.Int64
	scenarios := []struct {
		name  string
		loses func(from, to netip.AddrPort, kind packets.Kind) bool
		most  int64 // runs at a time
	}{
		{"all hear one another", nil, 1},
		{"the home is silent", func(_, _ netip.AddrPort, kind packets.Kind) bool { return kind == packets.KindRunAnswer }, 3},
		{"some messages are lost", func(from, to netip.AddrPort, kind packets.Kind) bool {
			return kind == packets.KindRunDone || kind == packets.KindRunAsk && asks.Add(1)%3 == 0
		}, 3},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newGuardBed(t, 3)
				b.guards[1].Ended(run(1, false))
				time.Sleep(time.Second)
				b.net.Lose(s.loses)
				var running, most, ran atomic.Int64
				var all sync.WaitGroup
				for n := range 9 {
					all.Go(func() {
						pass, refused := b.guards[n%3].Enter(context.Background(), request())
						if refused != nil {
							if refused.Held || refused.RetryAfter <= 0 {
								t.Errorf("refused %+v", refused)
							}
							return
						}
						ran.Add(1)
						most.Store(max(most.Load(), running.Add(1)))
						time.Sleep(50 * time.Millisecond)
						running.Add(-1)
						pass.Release(true)
					})
				}
				all.Wait()
				if most.Load() > s.most || ran.Load() == 0 {
					t.Errorf("%d ran, %d at a time", ran.Load(), most.Load())
				}
			})
		})
	}
}

// TestEachEntryHearsOfAnEnd: also where each message is lost once.
func TestEachEntryHearsOfAnEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newGuardBed(t, 40)
		lost := make(map[netip.AddrPort]bool)
		var mu sync.Mutex
		b.net.Lose(func(_, to netip.AddrPort, _ packets.Kind) bool {
			mu.Lock()
			defer mu.Unlock()
			before := lost[to]
			lost[to] = true
			return !before
		})
		b.guards[7].Ended(run(1, false))
		b.guards[9].Ended(run(2, true))
		time.Sleep(500 * time.Millisecond)
		for i, g := range b.guards {
			if pass, refused := g.Enter(context.Background(), request()); pass != nil || refused == nil || !refused.Held {
				t.Errorf("entry %d lets a request run under which two targets have ended", i)
			}
		}
		if len(b.store.writes) != 1 {
			t.Errorf("%d writes to the store, want 1", len(b.store.writes))
		}
	})
}

// TestAnOperatorLetsARequestGo: at one entry, and it is let go at all and in the store.
func TestAnOperatorLetsARequestGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newGuardBed(t, 3)
		b.guards[1].Ended(run(1, false))
		b.guards[1].Ended(run(2, true))
		time.Sleep(time.Second)
		if held := b.guards[2].Held(); len(held) != 1 || held[0].Digest != digest(1) || held[0].For <= 0 {
			t.Fatalf("held back: %+v", held)
		}
		if !b.guards[2].Release(digest(1)) || b.guards[2].Release(digest(7)) {
			t.Error("a request that is held back could not be let go, or one that isn't could")
		}
		time.Sleep(time.Second)
		for i, g := range b.guards {
			if len(g.Held()) > 0 {
				t.Errorf("entry %d still holds it back", i)
			}
		}
		if last := b.store.writes[len(b.store.writes)-1]; !last.Remove {
			t.Errorf("the last write is %+v", last)
		}
	})
}

// TestNothingIsSaidWithoutAnEnd: while no target ends under a request, no entry sends or writes
// anything.
func TestNothingIsSaidWithoutAnEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newGuardBed(t, 3)
		var sent atomic.Int64
		b.net.Lose(func(_, _ netip.AddrPort, _ packets.Kind) bool { return sent.Add(1) < 0 })
		for range 100 {
			pass, refused := b.guards[0].Enter(context.Background(), request())
			if pass != nil || refused != nil {
				t.Fatal("a request without a record needs a pass")
			}
			b.guards[0].Completed(digest(1))
			b.guards[0].PossibleEnd(run(1, false))
			time.Sleep(100 * time.Millisecond)
		}
		if sent.Load() > 0 || len(b.store.writes) > 0 {
			t.Errorf("%d messages, %d writes", sent.Load(), len(b.store.writes))
		}
	})
}

// TestARunThatBrokeOffBeforeItsTargetWasFoundToHaveEnded: the list of targets shows it later, unless
// the target was to end.
func TestARunThatBrokeOffBeforeItsTargetWasFoundToHaveEnded(t *testing.T) {
	listed := &routing.Target{ID: "t1", Start: 4, Service: "s", Address: "10.0.1.1:80", Slots: 1}
	leaving := *listed
	leaving.Leaving = true
	restarted := *listed
	restarted.Start = 5
	scenarios := []struct {
		name  string
		lists [][]*routing.Target
		after time.Duration
		ended bool
	}{
		{"goes on", [][]*routing.Target{{listed}}, time.Second, false},
		{"lapses", [][]*routing.Target{{listed}, {}}, time.Second, true},
		{"starts again", [][]*routing.Target{{&restarted}}, time.Second, true},
		{"leaves", [][]*routing.Target{{&leaving}, {}}, time.Second, false},
		{"lapses much later", [][]*routing.Target{{}}, 10 * time.Second, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newGuardBed(t, 2)
				b.guards[0].PossibleEnd(Run{Request: request(), Incarnation: ids.TargetIncarnation{Target: "t1", Start: 4}})
				for _, list := range s.lists {
					time.Sleep(s.after)
					b.guards[0].SetDirectory(routing.NewDirectory(list))
				}
				if got := b.guards[0].HasRecord("acme"); got != s.ended {
					t.Errorf("taken for ended: %t, want %t", got, s.ended)
				}
			})
		})
	}
}

// TestATargetThatHadSaidThatItLeaves: it says so only in its answers, after a connection of it broke, and its row
// lapses. It was to end, so that what ran there is not to blame.
func TestATargetThatHadSaidThatItLeaves(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := commontest.New(network.NewMemory(nil))
			g := New(Dependencies{Common: c, Leaves: func(l ids.TargetIncarnation) bool { return leaves && l.Target == "t1" }})
			g.PossibleEnd(Run{Request: request(), Incarnation: ids.TargetIncarnation{Target: "t1", Start: 4}})
			time.Sleep(time.Second)
			g.SetDirectory(routing.NewDirectory(nil))
			if got := g.HasRecord("acme"); got == leaves {
				t.Errorf("had said that it leaves %t, taken for ended %t", leaves, got)
			}
		})
	}
}
