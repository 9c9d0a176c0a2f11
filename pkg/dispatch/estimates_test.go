package dispatch

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"sync"
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

// rowSizeRecorder records the size of the last row that was written.
type rowSizeRecorder struct {
	mu   sync.Mutex
	size int
}

func (r *rowSizeRecorder) Put(_ context.Context, _ string, value []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.size = len(value)
	return nil
}

func (*rowSizeRecorder) Snapshot(context.Context) (follow.Batch, error) { return follow.Batch{}, nil }

// targetStart is the start of all targets in these tests.
const targetStart ids.Start = 1_764_673_891_234

// Guards against estimates that grow as the targets of a service are replaced: the successor keeps the factors of the
// last message only, and the row stays within the store's limit of 64 KiB, however many targets there are.
func TestEstimatesOfReplacedTargetsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := commontest.New(network.NewMemory(nil))
		net := packets.NewMemory()
		ctx, stop := context.WithCancel(context.Background())
		row := &rowSizeRecorder{}
		var entries []*estimateCache
		var listed []follow.Row
		address := func(i int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7600", i+1)) }
		for i := range 2 {
			listed = append(listed, follow.Row{Key: fmt.Sprint("entry-", i), Value: fmt.Appendf(nil, `{"address":%q,"weight":1}`, address(i))})
		}
		for i := range 2 {
			link := packets.NewLink(c, net.Socket(address(i)))
			m := membership.New(c, membership.Self{Name: ids.Process(fmt.Sprint("entry-", i)), Address: address(i), Weight: 1}, commontest.NoRows{}, link)
			m.Snapshot(listed, follow.Freshness{})
			entries = append(entries, newEstimateCache(c, m, link, row))
			go link.Run(ctx)
			go m.Run(ctx)
		}
		time.Sleep(time.Second)
		for _, targets := range []int{70, 70, 5000, 40} {
			l := &planner.Estimates{Factors: make(map[ids.TargetIncarnation]float64)}
			for n := range targets {
				l.Factors[ids.TargetIncarnation{Target: ids.Target(fmt.Sprintf("i-%d-%010x", targets, n)), Start: targetStart}] = 1.5
			}
			entries[0].replicate(ctx, c.Clock.Now(), "s", l)
			time.Sleep(saveInterval.Duration() + time.Second)
			want := min(targets, maxFactors)
			if got := len(entries[1].get("s").Factors); got != want {
				t.Errorf("the successor keeps %d factors of %d targets, want %d", got, targets, want)
			}
			const rowBytes = 65_536
			row.mu.Lock()
			if row.size == 0 || row.size > rowBytes {
				t.Errorf("row of %d bytes for %d targets, want 1 to 65536", row.size, targets)
			}
			row.mu.Unlock()
		}
		stop()
		time.Sleep(5 * clock.Second.Duration())
	})
}

// foreignStore is an estimate store with rows from another writer.
type foreignStore struct{ rows []follow.Row }

func (foreignStore) Put(context.Context, string, []byte) error { return nil }

func (n foreignStore) Snapshot(context.Context) (follow.Batch, error) {
	return follow.Batch{Rows: n.rows}, nil
}

// Guards against estimates that no planner has written: with a factor that is not a number, a target would get no
// requests, or all of them.
func TestInvalidEstimateRowsAreRejected(t *testing.T) {
	line := planner.LineFit{N: 9, X: 1, Y: 1, XX: 1, XY: 1}
	cases := []struct {
		service   string // the row's key, which says what is wrong
		estimates planner.Estimates
		valid     bool
	}{
		{"valid", planner.Estimates{First: line, Pause: line, Factors: map[ids.TargetIncarnation]float64{{Target: "a"}: 1.5}}, true},
		{"nan", planner.Estimates{First: line, Factors: map[ids.TargetIncarnation]float64{{Target: "a"}: math.NaN()}}, false},
		{"zero", planner.Estimates{First: line, Factors: map[ids.TargetIncarnation]float64{{Target: "a"}: 0}}, false},
		{"negative", planner.Estimates{First: line, Factors: map[ids.TargetIncarnation]float64{{Target: "a"}: -1}}, false},
		{"infinite", planner.Estimates{First: planner.LineFit{N: 9, X: math.Inf(1)}}, false},
		{"points", planner.Estimates{First: planner.LineFit{N: -9}}, false},
		{"hold", planner.Estimates{First: line, PrefillStall: math.Inf(1)}, false},
	}
	table := foreignStore{rows: []follow.Row{{Key: "bytes", Value: []byte{0xff}}, {Key: "empty"}}}
	for _, n := range cases {
		value, err := cbor.Marshal(&n.estimates)
		if err != nil {
			t.Fatal(err)
		}
		table.rows = append(table.rows, follow.Row{Key: n.service, Value: value})
	}
	c := commontest.New(network.NewMemory(nil))
	m := newEstimateCache(c, nil, packets.NewLink(c, packets.NewMemory().Socket(netip.MustParseAddrPort("10.0.0.1:7600"))), table)
	accepted := make(map[ids.Service]bool)
	m.load(context.Background(), func(service ids.Service, _ *planner.Estimates) { accepted[service] = true })
	for _, n := range cases {
		if accepted[ids.Service(n.service)] != n.valid {
			t.Errorf("estimates of service %s accepted: %t", n.service, !n.valid)
		}
	}
	if got := m.faults.Count(); got != 8 { // the six invalid cases, and the two rows that are no estimates
		t.Errorf("%d faulty rows reported, want 8", got)
	}
}
