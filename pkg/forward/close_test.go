package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"quaydock/pkg/advisory"
	"quaydock/pkg/commontest"
	"quaydock/pkg/forward"
	"quaydock/pkg/network"
	"quaydock/pkg/routing"
)

// TestAnswerClosedByEndOfProcessIsNotWhole covers answers that nothing but their connection ends.
func TestAnswerClosedByEndOfProcessIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\n"
	listed := &routing.Target{ID: "t", Service: "s", Address: at}
	leaving := *listed
	leaving.Leaving = true
	others := routing.NewDirectory([]*routing.Target{{ID: "other", Service: "s", Address: "10.0.0.8:80"}})
	cases := []struct {
		name   string
		head   string
		closed bool // the target's VM refuses connections from the answer's end on
		unread bool // the target has not read the request's body
		list   *routing.Directory
		advice advisory.Advice // what the target has said
		whole  bool
	}{
		{"the process goes on", head, false, false, nil, advisory.Advice{}, true},
		{"the process has ended", head, true, false, nil, advisory.Advice{}, false},
		{"the process has ended, listed", head, true, false, routing.NewDirectory([]*routing.Target{listed}), advisory.Advice{}, false},
		{"the process has ended, listed as leaving", head, true, false, routing.NewDirectory([]*routing.Target{&leaving}), advisory.Advice{}, false},
		{"the process has ended, not listed any more", head, true, false, others, advisory.Advice{}, false},
		{"the process has ended, and had said that it leaves", head, true, false, nil, advisory.Advice{Leaving: true}, false},
		{"the request was not read", head, false, true, nil, advisory.Advice{}, false},
		{"the process has ended, an answer with a length", head + "Content-Length: 4\r\n", true, false, nil, advisory.Advice{}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := network.NewMemory(nil)
				common := commontest.New(memory)
				tracker := advisory.NewTracker(common)
				pool := forward.NewPool(common, readMetadata, askWho, tracker)
				defer pool.Close()
				if c.list != nil {
					pool.SetDirectory(c.list)
				}
				var listener net.Listener
				listener = serveOnce(t, memory, func(conn net.Conn) {
					if !c.unread {
						_, _ = io.ReadFull(conn, make([]byte, len(longBody)))
					}
					_, _ = io.WriteString(conn, c.head+"\r\nwhat")
					if c.closed {
						_ = listener.Close()
					}
				})
				result := pool.Send(context.Background(), listed, &forward.Request{ID: "r1", Method: "POST", Path: "/", Host: "h", Body: []byte(longBody)})
				answer, ok := result.(*forward.Answer)
				if !ok {
					t.Fatalf("%T: %v", result, result)
				}
				if c.advice.Leaving {
					tracker.Observe(listed.Incarnation(), 0, "other", c.advice)
				}
				body, err := io.ReadAll(answer)
				answer.Close()
				if (err == nil) != c.whole || string(body) != "what" {
					t.Errorf("%q, %v; whole: %t", body, err, c.whole)
				}
				time.Sleep(10 * time.Second) // until the target has ended
			})
		})
	}
}

// longBody is more than a connection buffers.
var longBody = strings.Repeat("a", 100<<10)

// serveOnce lets a target answer its first connection by a script, and say who it is on all others. It closes the first
// one when the script returns.
func serveOnce(t *testing.T, memory *network.Memory, script func(net.Conn)) net.Listener {
	t.Helper()
	listener, err := memory.Listen(at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for first := true; ; first = false {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if !first {
				go converse(c, 1, func(net.Conn, int, string) {})
				continue
			}
			go func() {
				script(c)
				_ = c.Close()
			}()
		}
	}()
	return listener
}

// TestConnectionThatConfirmsAnEndIsUsedAgain guards against one connection more for each answer that ends with its own.
func TestConnectionThatConfirmsAnEndIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(nil)
		connections := 0
		serve(t, memory, func(c net.Conn, connection int, id string) {
			connections = max(connections, connection)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nyes", id)
			_ = c.Close()
		})
		pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
		defer pool.Close()
		const requests = 10
		for range requests {
			result := pool.Send(context.Background(), &routing.Target{ID: "t", Service: "s", Address: at}, &forward.Request{ID: "r1", Method: "GET", Path: "/", Host: "h", Header: http.Header{"Id": {"r1"}}})
			answer, ok := result.(*forward.Answer)
			if !ok {
				t.Fatalf("%T: %v", result, result)
			}
			if body, err := io.ReadAll(answer); err != nil || string(body) != "yes" {
				t.Fatalf("%q, %v", body, err)
			}
			answer.Close()
		}
		if connections > requests {
			t.Errorf("%d requests were sent on %d connections", requests, connections)
		}
	})
}

// TestJudgedEndIsLoggedAndCounted guards against answers whose end nobody can trace to what judged it.
func TestJudgedEndIsLoggedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(nil)
		serve(t, memory, func(c net.Conn, _ int, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nyes", id)
			_ = c.Close()
		})
		common := commontest.New(memory)
		logs := logtest.NewLocal(common.Log.Logger)
		pool := forward.NewPool(common, readMetadata, askWho, nil)
		defer pool.Close()
		if got := outcome(pool.Send(context.Background(), target, request("r1"))); got != "200 yes" {
			t.Fatal(got)
		}
		line := logs.LastEntry()
		if line == nil || line.Data["request"] != "r1" || line.Data["target"] != "t" || line.Data["framing"] != "Close" || line.Data["whole"] != true || line.Data["by"] == "" {
			t.Errorf("the last line is %v", line)
		}
		counted := httptest.NewRecorder()
		common.Metrics.Prometheus.ServeHTTP(counted, nil)
		if want := fmt.Sprintf("quaydock_answer_ends_judged_total{by=%q} 1\n", line.Data["by"]); !strings.Contains(counted.Body.String(), want) {
			t.Errorf("no %q in %s", want, counted.Body)
		}
	})
}

// TestAnswerOfEndedProcessIsNotWholeWhereAnotherListens guards against a part of an answer that looks whole, as another
// process has taken the address of the one that ended.
func TestAnswerOfEndedProcessIsNotWholeWhereAnotherListens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(nil)
		listener, err := memory.Listen(at)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		go func() {
			for owner := "t"; ; owner = "next" {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go converseAs(c, owner, 1, func(c net.Conn, _ int, id string) {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nyes", id)
					_ = c.Close()
				})
			}
		}()
		pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
		defer pool.Close()
		if got := outcome(pool.Send(context.Background(), target, request("r1"))); got != "broken off" {
			t.Error(got)
		}
	})
}

// TestAnswerIsNotWholeIfNobodySaysWhoClosedIt guards against a part of an answer that looks whole, as its target can't be
// asked any more.
func TestAnswerIsNotWholeIfNobodySaysWhoClosedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(nil)
		dialer := &cutDialer{Network: memory}
		serve(t, memory, func(c net.Conn, _ int, id string) {
			dialer.cut.Store(true)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nyes", id)
			_ = c.Close()
		})
		pool := forward.NewPool(commontest.New(dialer), readMetadata, askWho, nil)
		defer pool.Close()
		if got := outcome(pool.Send(context.Background(), target, request("r1"))); got != "broken off" {
			t.Error(got)
		}
	})
}

// cutDialer makes no connection once it is cut.
type cutDialer struct {
	network.Network
	cut atomic.Bool
}

func (d *cutDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if d.cut.Load() {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: context.Cause(ctx)}
	}
	return d.Network.Dial(ctx, address)
}
