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

// Two incarnations of one target, at one address. The later one has the lower start, as starts cannot be ordered: the
// clock of the target's VM may have been stepped back between them.
var (
	former    = &routing.Target{ID: "t", Start: 5000, Address: at}
	restarted = &routing.Target{ID: "t", Start: 4000, Address: at}
)

// slowDial delays each connection, and makes it even if its context ends meanwhile.
type slowDial struct {
	network.Network
	wait time.Duration
}

func (s slowDial) Dial(ctx context.Context, address string) (net.Conn, error) {
	time.Sleep(s.wait)
	return s.Network.Dial(context.WithoutCancel(ctx), address)
}

// TestConnectionsOfAFormerIncarnation has a target start again at some moment of an exchange, and checks what
// reached the engine at its address and whether the connection was closed.
func TestConnectionsOfAFormerIncarnation(t *testing.T) {
	scenarios := []struct {
		name string
		// restart is when the new target list arrives after the exchange has begun; if negative, before it.
		// Connecting takes 100 ms, the answer begins 200 ms later, and its last byte follows after 100 ms more.
		restart time.Duration
		want    string // see outcome
		arrived int64  // requests that reached the target
	}{
		{"before the exchange", -time.Millisecond, "not sent", 0},
		{"while it connects", 50 * time.Millisecond, "not sent", 0},
		{"after sending", 200 * time.Millisecond, "broken", 1},
		{"in the middle of the answer", 350 * time.Millisecond, "broken off", 1},
		{"after the exchange", 500 * time.Millisecond, "200 yes", 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := network.NewMemory(nil)
				var arrived atomic.Int64
				closed := make(chan struct{}, 1)
				serve(t, memory, func(c net.Conn, _ int, id string) {
					arrived.Add(1)
					complete := answer(id, "yes")
					time.Sleep(200 * time.Millisecond)
					_, _ = io.WriteString(c, complete[:len(complete)-1])
					time.Sleep(100 * time.Millisecond)
					_, _ = io.WriteString(c, complete[len(complete)-1:])
					_, _ = c.Read(make([]byte, 1))
					closed <- struct{}{}
				})
				pool := forward.NewPool(commontest.New(slowDial{memory, 100 * time.Millisecond}), readMetadata, askWho, nil)
				defer pool.Close()
				pool.SetDirectory(routing.NewDirectory([]*routing.Target{former}))
				restart := func() { setDirectory(pool, restarted) }
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
					t.Errorf("request arrived %d times", n)
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

// TestConnectionIsNotKeptAfterRestart has the new target list arrive before the end of an answer is read: its
// connection must be kept neither for the former incarnation nor for the new one.
func TestConnectionIsNotKeptAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(nil)
		var connections atomic.Int64
		serve(t, memory, func(c net.Conn, n int, id string) {
			connections.Store(int64(n))
			_, _ = io.WriteString(c, answer(id, "yes"))
		})
		pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
		defer pool.Close()
		pool.SetDirectory(routing.NewDirectory([]*routing.Target{former}))
		a, ok := pool.Send(context.Background(), former, request("r1")).(*forward.Answer)
		if !ok {
			t.Fatal("no answer")
		}
		setDirectory(pool, restarted)
		_, _ = io.ReadAll(a) // whether the end arrives does not matter
		a.Close()
		if got := outcome(pool.Send(context.Background(), restarted, request("r2"))); got != "200 yes" {
			t.Error(got)
		}
		if n := connections.Load(); n != 2 {
			t.Errorf("%d connections, want 2", n)
		}
		time.Sleep(time.Minute)
	})
}

// setDirectory passes a new target list to a pool as production code does.
func setDirectory(pool *forward.Pool, t *routing.Target) {
	list := routing.NewDirectory([]*routing.Target{t})
	pool.SetDirectory(list)
	pool.AbortReplaced(list)
}
