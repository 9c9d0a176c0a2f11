package dispatch

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	gosync "sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/membership"
	"quaydock/pkg/network"
	"quaydock/pkg/packets"
	"quaydock/pkg/planner"
)

// rowOf notes the size of the row that was written last.
type rowOf struct {
	mu   gosync.Mutex
	size int
}

func (r *rowOf) Put(_ context.Context, _ string, value []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.size = len(value)
	return nil
}

func (*rowOf) Snapshot(context.Context) (follow.Batch, error) { return follow.Batch{}, nil }

// startOfAll is when the targets of these tests started.
const startOfAll ids.Start = 1_764_673_891_234

// TestWhatIsLearnedDoesNotPileUp has the targets of a service replaced again and
// again: the next home keeps those of the last lesson only, and the row in the store
// stays within what the store takes, however many targets there are.
func TestWhatIsLearnedDoesNotPileUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := commontest.New(network.NewMemory(nil))
		net := packets.NewMemory()
		ctx, stop := context.WithCancel(context.Background())
		row := &rowOf{}
		var entries []*memory
		var listed []follow.Row
		address := func(i int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7600", i+1)) }
		for i := range 2 {
			listed = append(listed, follow.Row{Key: fmt.Sprint("entry-", i), Value: fmt.Appendf(nil, `{"address":%q,"weight":1}`, address(i))})
		}
		for i := range 2 {
			link := packets.NewLink(c, net.Socket(address(i)))
			m := membership.New(c, membership.Self{Name: ids.Process(fmt.Sprint("entry-", i)), Address: address(i), Weight: 1}, commontest.NoRows{}, link)
			m.Snapshot(listed, follow.Freshness{})
			entries = append(entries, newMemory(c, m, link, row))
			go link.Run(ctx)
			go m.Run(ctx)
		}
		time.Sleep(time.Second)
		for _, targets := range []int{70, 70, 5000, 40} {
			l := &planner.Estimates{Factors: make(map[ids.TargetIncarnation]float64)}
			for n := range targets {
				l.Factors[ids.TargetIncarnation{Target: ids.Target(fmt.Sprintf("i-%d-%010x", targets, n)), Start: startOfAll}] = 1.5
			}
			entries[0].tell(ctx, c.Clock.Now(), "s", l)
			time.Sleep(noteEvery.Duration() + time.Second)
			want := min(targets, mostFactors)
			if got := len(entries[1].of("s").Factors); got != want {
				t.Errorf("the next home keeps %d factors of %d targets, want %d", got, targets, want)
			}
			const rowBytes = 65_536
			row.mu.Lock()
			if row.size == 0 || row.size > rowBytes {
				t.Errorf("a row of %d bytes for %d targets", row.size, targets)
			}
			row.mu.Unlock()
		}
		stop()
		time.Sleep(5 * clock.Second.Duration())
	})
}

// foreignNotes is a table of notes that another writer has been at.
type foreignNotes struct{ rows []follow.Row }

func (foreignNotes) Put(context.Context, string, []byte) error { return nil }

func (n foreignNotes) Snapshot(context.Context) (follow.Batch, error) {
	return follow.Batch{Rows: n.rows}, nil
}

// TestAForeignNoteTeachesNothing has a table of notes hold what no planner has learned: a factor that
// is no number would have a target never placed on, or always.
func TestAForeignNoteTeachesNothing(t *testing.T) {
	line := planner.LineFit{N: 9, X: 1, Y: 1, XX: 1, XY: 1}
	notes := []struct {
		service string
		learned planner.Estimates
		sound   bool
	}{
		{"sound", planner.Estimates{First: line, Pause: line, Factors: map[ids.TargetIncarnation]float64{{Target: "a"}: 1.5}}, true},
		{"nan", planner.Estimates{First: line, Factors: map[ids.TargetIncarnation]float64{{Target: "a"}: math.NaN()}}, false},
		{"nothing", planner.Estimates{First: line, Factors: map[ids.TargetIncarnation]float64{{Target: "a"}: 0}}, false},
		{"below", planner.Estimates{First: line, Factors: map[ids.TargetIncarnation]float64{{Target: "a"}: -1}}, false},
		{"endless", planner.Estimates{First: planner.LineFit{N: 9, X: math.Inf(1)}}, false},
		{"points", planner.Estimates{First: planner.LineFit{N: -9}}, false},
		{"hold", planner.Estimates{First: line, PrefillStall: math.Inf(1)}, false},
	}
	table := foreignNotes{rows: []follow.Row{{Key: "bytes", Value: []byte{0xff}}, {Key: "empty"}}}
	for _, n := range notes {
		value, err := cbor.Marshal(&n.learned)
		if err != nil {
			t.Fatal(err)
		}
		table.rows = append(table.rows, follow.Row{Key: n.service, Value: value})
	}
	c := commontest.New(network.NewMemory(nil))
	m := newMemory(c, nil, packets.NewLink(c, packets.NewMemory().Socket(netip.MustParseAddrPort("10.0.0.1:7600"))), table)
	learned := make(map[ids.Service]bool)
	m.read(context.Background(), func(service ids.Service, _ *planner.Estimates) { learned[service] = true })
	for _, n := range notes {
		if learned[ids.Service(n.service)] != n.sound {
			t.Errorf("%s was taken: %t", n.service, !n.sound)
		}
	}
	if got := m.faults.Count(); got != 8 {
		t.Errorf("%d faulty rows are shown", got)
	}
}
