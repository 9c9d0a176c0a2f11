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

// countingConn counts the bytes of a connection, both ways.
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

// sessionCosts are what sessions between entries and an agent cost.
type sessionCosts struct {
	// Notices is the bytes of one empty Notices call and its reply.
	Notices float64
	// Tickets is the bytes of a Place call and its reply, by tickets.
	Tickets Slope
	// Memory is heap and stacks of both sides, by sessions.
	Memory Slope
	// Poll is the bytes of a look at the head row and its answer.
	Poll float64
}

// measureSessions runs a real agent on an in-memory network.
func measureSessions() (sessionCosts, error) {
	bed, err := testbed.Start(testbed.Options{
		Engines: []settings.EngineStandIn{{Model: testbed.Model}}, Slots: 1,
	})
	if err != nil {
		return sessionCosts{}, fmt.Errorf("starting the bed: %w", err)
	}
	defer bed.Close()
	time.Sleep(time.Second) // the agent takes its configuration
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

// countingNetwork counts the bytes of the connections that it makes.
type countingNetwork struct {
	network.Network
	bytes *atomic.Int64
}

// Dial connects to address and counts.
func (n countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: n.bytes}, nil
}

func measurePoll(reach network.Network) (float64, error) {
	var count atomic.Int64
	const timeout = 5 * clock.Second
	rows := table.NewTable(countingNetwork{reach, &count}, "http://"+testbed.TableAddress, timeout)
	defer rows.Close()
	const polls = 20
	for range polls {
		if _, err := rows.Read(context.Background(), table.KeyHead); err != nil {
			return 0, fmt.Errorf("polling: %w", err)
		}
	}
	return float64(count.Load()) / polls, nil
}

func dial(reach network.Network, count *atomic.Int64) (*control.Client, error) {
	conn, err := reach.Dial(context.Background(), testbed.ControlAddress(0))
	if err != nil {
		return nil, fmt.Errorf("dialling the agent: %w", err)
	}
	return control.NewClient(countingConn{Conn: conn, bytes: count}), nil
}

func measureMessages(reach network.Network) (notices float64, tickets Slope, err error) {
	var count atomic.Int64
	client, err := dial(reach, &count)
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
			err = call(n) // the first call also sends the types
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

func measureSessionMemory(reach network.Network) (Slope, error) {
	var failure error
	slope := sweep("memory of sessions, both sides together", "bytes", []int{50, 200, 800}, func(n int) float64 {
		cost, err := sessionMemory(reach, n)
		if err != nil {
			failure = err
		}
		return cost
	})
	return slope, failure
}

func sessionMemory(reach network.Network, n int) (float64, error) {
	before := inUse()
	var count atomic.Int64
	var clients []*control.Client
	defer func() {
		for _, c := range clients {
			c.Close()
		}
		time.Sleep(200 * time.Millisecond) // the agent drops the sessions
	}()
	for range n {
		client, err := dial(reach, &count)
		if err != nil {
			return 0, err
		}
		clients = append(clients, client)
		if _, err := client.Place(context.Background(), &control.PlaceArgs{}); err != nil {
			return 0, fmt.Errorf("greeting the agent: %w", err)
		}
		go func() {
			// Ends with the connection.
			_, _ = client.Notices(context.Background(), &control.NoticeArgs{Wait: 30_000})
		}()
	}
	time.Sleep(200 * time.Millisecond) // the calls are under way
	return inUse() - before, nil
}

func inUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
