package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/buffers"
)

// endlessEvent begins a stream, sends size bytes of its first event, and nothing more.
func endlessEvent(size int) scriptedTarget {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\ndata: %s", r.Header.Get("Id"), strings.Repeat("x", size))
		return silent(c, r)
	}
}

// TestEventsWithoutEndFitIntoMemory guards against events that are each within their limit and together more than the VM
// has, and against the loss of other streams beside them.
func TestEventsWithoutEndFitIntoMemory(t *testing.T) {
	const (
		bound   = 1 << 20
		event   = 300 << 10
		streams = 12
	)
	synctest.Test(t, func(t *testing.T) {
		b := newTestbedWithin(t, buffers.Limits{Total: 1 << 24, Exchange: 1 << 20, Bodies: 1 << 20, Incoming: bound}, fakeMeter{}, func(c net.Conn, r *http.Request) bool {
			if r.Header.Get("Sound") != "" {
				return streams10(c, r)
			}
			return endlessEvent(event)(c, r)
		})
		var all sync.WaitGroup
		var mu sync.Mutex
		atOnce := 0 // streams that were given up at once
		for range streams {
			all.Go(func() {
				got := b.call(context.Background(), "/stream/a", nil)
				mu.Lock()
				defer mu.Unlock()
				if got.status == http.StatusBadGateway && got.took < time.Second {
					atOnce++
				}
			})
		}
		time.Sleep(time.Second)
		if held := b.buffers.Usage().Incoming; held == 0 || held > bound {
			t.Errorf("%d bytes are held of %d", held, bound)
		}
		if got := b.call(context.Background(), "/stream/b", map[string]string{"Sound": "1"}); !got.complete || got.status != http.StatusOK {
			t.Errorf("a sound stream beside them: %+v", got)
		}
		all.Wait()
		if least := streams - bound/event; atOnce < least {
			t.Errorf("%d streams were given up at once, want %d", atOnce, least)
		}
	})
}

// streams10 is a whole stream of ten events.
var streams10 = streams(0)

// TestTooLongEventIsToldWithItsLimit guards against an answer that is given up and of which no line tells the request, the
// target and the limit.
func TestTooLongEventIsToldWithItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, func(c net.Conn, r *http.Request) bool {
			endlessEvent(2<<20)(c, r)
			return false
		})
		b.call(context.Background(), "/stream/a", nil)
		for _, line := range b.logs.AllEntries() {
			if line.Data["limit"] == "Event" && line.Data["target"] == "t1" && line.Data["request"] == "r1" {
				return
			}
		}
		t.Error("no line tells of it")
	})
}

// TestSlowFailureDoesNotHoldRequest guards against a request that waits for the body of a failure, which has no end,
// although another target would serve it.
func TestSlowFailureDoesNotHoldRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, func(c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 500 X\r\nId: %s\r\n\r\n", r.Header.Get("Id"))
			for {
				time.Sleep(20 * time.Millisecond)
				if _, err := io.WriteString(c, "x"); err != nil {
					return false
				}
			}
		}, replies(http.StatusOK, "", "yes"))
		if got := b.call(context.Background(), "/safe/a", nil); got.body != "yes" || got.took > 500*time.Millisecond {
			t.Errorf("status %d, %q after %v", got.status, got.body, got.took)
		}
	})
}
