package capacity

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/network"
	"quaydock/pkg/settings"
	"quaydock/pkg/table"
	"quaydock/pkg/testbed"
)

// countingConn adds the bytes of a connection, in both directions, to a counter that connections may share.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// sessionCosts are the costs of sessions between entries and an agent.
type sessionCosts struct {
	// Notices is the size of an empty Notices call with its reply, in bytes.
	Notices float64
	// Tickets is the size of a Place call with its reply, in bytes by number of tickets.
	Tickets Slope
	// Memory is the heap and stacks of both sides together, in bytes by number of sessions.
	Memory Slope
	// Poll is the size of a read of the table's head row with its answer, in bytes.
	Poll float64
}

// measureSessions measures the sessions of a real agent on an in-memory network, in real time.
func measureSessions() (sessionCosts, error) {
	bed, err := testbed.Start(testbed.Options{
		Engines: []settings.EngineStandIn{{Model: testbed.Model}}, Slots: 1,
	})
	if err != nil {
		return sessionCosts{}, fmt.Errorf("starting the test bed: %w", err)
	}
	defer bed.Close()
	time.Sleep(time.Second) // until the agent has its configuration
	var costs sessionCosts
	if costs.Notices, costs.Tickets, err = measureMessages(bed.Network); err != nil {
		return sessionCosts{}, err
	}
	if costs.Poll, err = measurePoll(bed.Network); err != nil {
		return sessionCosts{}, err
	}
	costs.Memory, err = measureSessionMemory(bed.Network)
	return costs, err
}

// countingNetwork counts the bytes of the connections that it dials.
type countingNetwork struct {
	network.Network
	bytes *atomic.Int64 // of all these connections, in both directions
}

// Dial connects to address and counts the bytes of the connection.
func (n countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: n.bytes}, nil
}

// measurePoll returns the mean size of a read of the head row with its answer, in bytes.
func measurePoll(inner network.Network) (float64, error) {
	var count atomic.Int64
	const timeout = 5 * clock.Second
	rows := table.NewTable(countingNetwork{inner, &count}, "http://"+testbed.TableAddress, timeout)
	defer rows.Close()
	const polls = 20
	for range polls {
		if _, err := rows.Read(context.Background(), table.KeyHead); err != nil {
			return 0, fmt.Errorf("polling the head row: %w", err)
		}
	}
	return float64(count.Load()) / polls, nil
}

// dial opens a session with the test bed's agent and adds its bytes to count.
func dial(inner network.Network, count *atomic.Int64) (*control.Client, error) {
	conn, err := inner.Dial(context.Background(), testbed.ControlAddress(0))
	if err != nil {
		return nil, fmt.Errorf("dialling the agent: %w", err)
	}
	return control.NewClient(countingConn{Conn: conn, bytes: count}), nil
}

// measureMessages measures the bytes of an empty Notices call, and of Place calls by their number of tickets.
func measureMessages(inner network.Network) (notices float64, tickets Slope, err error) {
	var count atomic.Int64
	client, err := dial(inner, &count)
	if err != nil {
		return 0, Slope{}, err
	}
	defer client.Close()
	ctx := context.Background()
	place := func(n int) error {
		args := &control.PlaceArgs{}
		for i := range n {
			args.Tickets = append(args.Tickets, ticketNumber(i))
			args.Withdrawn = append(args.Withdrawn, args.Tickets[i].Request)
		}
		_, err := client.Place(ctx, args)
		return err
	}
	wait := func(int) error {
		_, err := client.Notices(ctx, &control.NoticeArgs{Wait: 1})
		return err
	}
	costOf := func(call func(int) error, n int) float64 {
		if err == nil {
			err = call(n) // the first call also sends gob type descriptions and isn't counted
		}
		before := count.Load()
		const calls = 20
		for range calls {
			if err == nil {
				err = call(n)
			}
		}
		return float64(count.Load()-before) / calls
	}
	notices = costOf(wait, 0)
	tickets = sweep("bytes of tickets, their verdicts and withdrawals, by tickets in a call", "bytes", []int{1, 4, 16, 64}, func(n int) float64 {
		return costOf(place, n)
	})
	return notices, tickets, err
}

// measureSessionMemory measures the memory of sessions, by their number.
func measureSessionMemory(inner network.Network) (Slope, error) {
	var failure error
	slope := sweep("memory of sessions, both sides together", "bytes", []int{50, 200, 800}, func(n int) float64 {
		cost, err := sessionMemory(inner, n)
		if err != nil {
			failure = err
		}
		return cost
	})
	return slope, failure
}

// sessionMemory returns by how many bytes n sessions, each with a Notices call under way, grow the memory in use.
func sessionMemory(inner network.Network, n int) (float64, error) {
	before := memoryInUse()
	var count atomic.Int64
	var clients []*control.Client
	defer func() {
		for _, c := range clients {
			c.Close()
		}
		time.Sleep(200 * time.Millisecond) // until the agent has dropped the sessions
	}()
	for range n {
		client, err := dial(inner, &count)
		if err != nil {
			return 0, err
		}
		clients = append(clients, client)
		if _, err := client.Place(context.Background(), &control.PlaceArgs{}); err != nil {
			return 0, fmt.Errorf("calling Place on the agent: %w", err)
		}
		go func() {
			// Returns when the connection is closed.
			_, _ = client.Notices(context.Background(), &control.NoticeArgs{Wait: 30_000})
		}()
	}
	time.Sleep(200 * time.Millisecond) // until all calls are running
	return memoryInUse() - before, nil
}

// memoryInUse returns the bytes of the live heap and of stacks. The second collection frees what sync.Pool keeps over
// the first.
func memoryInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
