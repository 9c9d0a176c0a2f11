package feedrelay

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
	"quaydock/pkg/membership"
	"quaydock/pkg/network"
	"quaydock/pkg/packets"
)

// slowStore answers each query after a while, unless the query's context ends before.
type slowStore struct{ takes clock.Millis }

func (s slowStore) answer(ctx context.Context) (follow.Batch, error) {
	clock.Pause(ctx, s.takes)
	return follow.Batch{Position: history.At(1, 1)}, ctx.Err()
}

func (s slowStore) Snapshot(ctx context.Context) (follow.Batch, error) { return s.answer(ctx) }

func (s slowStore) Changes(ctx context.Context, _ history.Position, _ clock.Millis) (follow.Batch, error) {
	return s.answer(ctx)
}

// TestStoreIsNotTakenForAwayByOwnShortWait guards against a read that begins when next to nothing is left of the time in
// which its entry has listened to others.
func TestStoreIsNotTakenForAwayByOwnShortWait(t *testing.T) {
	scenarios := []struct {
		name string
		read func(ctx context.Context, s *Source) (follow.Batch, error)
	}{
		{"read", func(ctx context.Context, s *Source) (follow.Batch, error) {
			return s.readStore(ctx, s.position, clock.Second)
		}},
		{"fetch", func(ctx context.Context, s *Source) (follow.Batch, error) { return s.fetch(ctx, s.position) }},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := commontest.New(network.NewMemory(nil))
				address := netip.MustParseAddrPort("10.0.0.1:7600")
				link := packets.NewLink(c, packets.NewMemory().Socket(address))
				m := membership.New(c, membership.Self{Name: "entry-0", Address: address, Weight: 1}, commontest.NoRows{}, link)
				s := NewRelay(c, m, link).Source("t", slowStore{takes: 20})
				if _, err := s.Snapshot(t.Context()); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
				defer cancel()
				if _, err := scenario.read(ctx, s); err != nil || !s.answeredLast {
					t.Errorf("a store that answers within 20 ms counts as away: answered %v, error %v", s.answeredLast, err)
				}
			})
		})
	}
}

// TestReadOfStoreEndsWithTheProcess stops an entry while the store is silent.
func TestReadOfStoreEndsWithTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended atomic.Int64
		parent, stop := context.WithCancel(t.Context())
		short, cancel := context.WithTimeout(parent, time.Second)
		defer cancel()
		for _, least := range []clock.Millis{1, clock.Minute} {
			ctx, end := withLeastTime(short, least)
			defer end()
			if ctx.Err() != nil {
				t.Errorf("a read that may take %d ms has ended before the process was stopped", least)
			}
			context.AfterFunc(ctx, func() { ended.Add(1) })
		}
		stop()
		synctest.Wait()
		if got := ended.Load(); got != 2 {
			t.Errorf("%d of 2 reads have ended with the process", got)
		}
	})
}
