package membership_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

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
	lots    []int // how many rows were written at once
	// removals are how many rows were taken away at once.
	removals []int
	single   int  // rows that were written by themselves
	failing  bool // several at once are not taken
	// removing, if set, is told of each row that is removed.
	removing func(key string)
}

func (r *rows) Put(_ context.Context, key string, _ []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.puts[key]++
	r.single++
	return nil
}

// writes is how often the store was asked to write.
func (r *rows) writes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.single + len(r.lots)
}

// failLots has the store take no rows of others any more.
func (r *rows) failLots(failing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = failing
}

func (r *rows) PutAll(_ context.Context, rows map[string][]byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing {
		return errors.New("the store is away")
	}
	r.lots = append(r.lots, len(rows))
	for key := range rows {
		r.puts[key]++
	}
	return nil
}

func (r *rows) Remove(_ context.Context, keys ...string) error {
	r.mu.Lock()
	for _, key := range keys {
		r.removed[key]++
	}
	r.removals = append(r.removals, len(keys))
	told := r.removing
	r.mu.Unlock()
	for _, key := range keys {
		if told != nil {
			told(key)
		}
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
	m.Snapshot(b.listed, follow.Freshness{})
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
	b.members[i].SetGrace(trust)
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
