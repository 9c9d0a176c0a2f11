package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/commontest"
	"quaydock/pkg/descriptors"
	"quaydock/pkg/ingress"
	"quaydock/pkg/network"
	"quaydock/pkg/routing"
)

const serverAt = "10.0.0.2:80"

func startServer(t *testing.T) (*ingress.Server, *network.Memory) {
	reach := network.NewMemory(nil)
	s := ingress.NewServer(commontest.New(reach), ingress.Handlers{Serve: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "yes")
	})}, descriptors.Divide(1024))
	listener, err := reach.Listen(serverAt)
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(listener)
	t.Cleanup(func() {
		if err := s.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
	})
	synctest.Wait()
	return s, reach
}

func dial(t *testing.T, reach *network.Memory) net.Conn {
	c, err := reach.Dial(context.Background(), serverAt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// ask sends a request with so many bytes of headers and returns the status, 0 if
// the connection was closed.
func ask(c net.Conn, headerBytes int) int {
	return send(c, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("a", headerBytes)+"\r\n\r\n")
}

func send(c net.Conn, text string) int {
	go func() { _, _ = io.WriteString(c, text) }()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func TestLimitsOfCallers(t *testing.T) {
	scenarios := []struct {
		name   string
		limits routing.Limits
		do     func(c net.Conn) int
		want   int
	}{
		{"a request within them", routing.Limits{HeaderBytes: 4096, HeaderTime: 1000, IdleTime: 1000}, func(c net.Conn) int { return ask(c, 100) }, 200},
		{"too large a head", routing.Limits{HeaderBytes: 4096, HeaderTime: 1000, IdleTime: 1000}, func(c net.Conn) int { return ask(c, 20_000) }, 431},
		{"too slow a head", routing.Limits{HeaderTime: 1000, IdleTime: 1000}, func(c net.Conn) int {
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost")
			time.Sleep(2 * time.Second)
			// Whether the end is told depends on the network's error.
			if got := ask(c, 0); got != http.StatusBadRequest {
				return got
			}
			return 0
		}, 0},
		{"a rest within them", routing.Limits{HeaderTime: 1000, IdleTime: 15_000}, func(c net.Conn) int {
			ask(c, 0)
			time.Sleep(12 * time.Second)
			return ask(c, 0)
		}, 200},
		{"too long a rest", routing.Limits{HeaderTime: 1000, IdleTime: 15_000}, func(c net.Conn) int {
			ask(c, 0)
			time.Sleep(16 * time.Second)
			return ask(c, 0)
		}, 0},
		{"no HTTP", routing.Limits{HeaderTime: 1000, IdleTime: 1000}, func(c net.Conn) int {
			return send(c, "\x00\x01\x02 nonsense\r\n\r\n")
		}, 400},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, reach := startServer(t)
				server.SetLimits(s.limits)
				synctest.Wait() // until new connections are under them
				if got := s.do(dial(t, reach)); got != s.want {
					t.Errorf("status %d, want %d", got, s.want)
				}
				if got := ask(dial(t, reach), 0); got != 200 {
					t.Errorf("another caller got %d", got)
				}
			})
		})
	}
}

func TestConnectionsOutliveAChangeOfLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, reach := startServer(t)
		kept := dial(t, reach)
		if got := ask(kept, 0); got != 200 {
			t.Fatalf("status %d", got)
		}
		for n := range 5 {
			server.SetLimits(routing.Limits{HeaderTime: 1000, IdleTime: 15_000 + 1})
			server.SetLimits(routing.Limits{HeaderTime: 1000, IdleTime: 16_000})
			if got := ask(kept, 0); got != 200 {
				t.Errorf("change %d: the kept connection got %d", n, got)
			}
			if got := ask(dial(t, reach), 0); got != 200 {
				t.Errorf("change %d: a new connection got %d", n, got)
			}
		}
	})
}
