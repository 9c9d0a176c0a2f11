package forward_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/commontest"
	"quaydock/pkg/forward"
	"quaydock/pkg/network"
	"quaydock/pkg/routing"
)

// The two lives of one target, at one address.
var (
	former = &routing.Target{ID: "t", Start: 5000, Address: at}
	next   = &routing.Target{ID: "t", Start: 4000, Address: at}
)

// slowDial connects after a while.
type slowDial struct {
	network.Network
	wait time.Duration
}

func (s slowDial) Dial(ctx context.Context, address string) (net.Conn, error) {
	time.Sleep(s.wait)
	return s.Network.Dial(context.WithoutCancel(ctx), address)
}

// TestConnectionsOfAFormerLife has a target start again at some moment of an exchange, and looks at
// what reached the engine at its address and what became of the connection.
func TestConnectionsOfAFormerLife(t *testing.T) {
	scenarios := []struct {
		name    string
		restart time.Duration // after the exchange has begun; connecting takes 100 ms, the answer 200 more
		want    string
		arrived int64
	}{
		{"before it", -time.Millisecond, "not sent", 0},
		{"while it connects", 50 * time.Millisecond, "not sent", 0},
		{"once it is sent", 200 * time.Millisecond, "broken", 1},
		{"in the middle of the answer", 350 * time.Millisecond, "cut", 1},
		{"after it", 500 * time.Millisecond, "200 yes", 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := network.NewMemory(nil)
				var arrived atomic.Int64
				closed := make(chan struct{}, 1)
				serve(t, memory, func(c net.Conn, _ int, id string) {
					arrived.Add(1)
					whole := answer(id, "yes")
					time.Sleep(200 * time.Millisecond)
					_, _ = io.WriteString(c, whole[:len(whole)-1])
					time.Sleep(100 * time.Millisecond)
					_, _ = io.WriteString(c, whole[len(whole)-1:])
					_, _ = c.Read(make([]byte, 1))
					closed <- struct{}{}
				})
				pool := forward.NewPool(commontest.New(slowDial{memory, 100 * time.Millisecond}), marks, nil)
				defer pool.Close()
				pool.SetDirectory(routing.NewDirectory([]*routing.Target{former}))
				restart := func() { follow(pool, next) }
				if s.restart < 0 {
					restart()
				} else {
					time.AfterFunc(s.restart, restart)
				}
				if got := outcome(pool.Send(context.Background(), former, request("r1"))); got != s.want {
					t.Errorf("%s, want %s", got, s.want)
				}
				time.Sleep(time.Second)
				if n := arrived.Load(); n != s.arrived {
					t.Errorf("arrived %d times", n)
				}
				if s.arrived > 0 {
					select {
					case <-closed:
					default:
						t.Error("the connection is still open")
					}
				}
			})
		})
	}
}

// TestALaterAnswerRestsNoConnection has the news of the new start come while the end of an answer is
// on its way: its connection is not kept, neither for the former life nor for the new one.
func TestALaterAnswerRestsNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reach := network.NewMemory(nil)
		var connections atomic.Int64
		serve(t, reach, func(c net.Conn, n int, id string) {
			connections.Store(int64(n))
			_, _ = io.WriteString(c, answer(id, "yes"))
		})
		pool := forward.NewPool(commontest.New(reach), marks, nil)
		defer pool.Close()
		pool.SetDirectory(routing.NewDirectory([]*routing.Target{former}))
		a, ok := pool.Send(context.Background(), former, request("r1")).(*forward.Answer)
		if !ok {
			t.Fatal("no answer")
		}
		follow(pool, next)
		_, _ = io.ReadAll(a) // whether the end comes through does not matter
		a.Close()
		if got := outcome(pool.Send(context.Background(), next, request("r2"))); got != "200 yes" {
			t.Error(got)
		}
		if n := connections.Load(); n != 2 {
			t.Errorf("%d connections, want 2", n)
		}
		time.Sleep(time.Minute)
	})
}

// follow gives a pool a new list, as whoever reads it does.
func follow(pool *forward.Pool, t *routing.Target) {
	list := routing.NewDirectory([]*routing.Target{t})
	pool.SetDirectory(list)
	pool.AbortReplaced(list)
}
