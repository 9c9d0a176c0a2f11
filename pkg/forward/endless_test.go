package forward_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/buffers"
	"quaydock/pkg/commontest"
	"quaydock/pkg/forward"
	"quaydock/pkg/network"
)

// flood is what a target sends: a beginning, and then a piece again and again, until the connection is closed or it has
// sent floodBytes.
type flood struct {
	start, piece string
	every        time.Duration // the time between two pieces

	sent atomic.Int64 // bytes that the connection took
}

// floodBytes is more than any limit lets through.
const floodBytes = 40 << 20

// answer is the engine of a flood.
func (f *flood) answer(c net.Conn, _ int, id string) {
	n, _ := io.WriteString(c, strings.ReplaceAll(f.start, "{id}", id))
	for f.sent.Add(int64(n)) < floodBytes {
		var err error
		if n, err = io.WriteString(c, f.piece); err != nil {
			return
		}
		time.Sleep(f.every)
	}
	_, _ = c.Read(make([]byte, 1)) // until the connection is closed
}

const (
	notRunHead = "HTTP/1.1 503 Full\r\nId: {id}\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	strayHead  = "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n"
	// endlessChunk is a part of a chunk that has no end.
	endlessChunk = "7fffffff\r\n"
)

var kilobyte = strings.Repeat("\x00", 1<<10)

// TestEndlessBytesOfTargetAreGivenUp guards against bytes that are no answer, or none that the caller gets, and have no
// end: they filled the memory, or held the request until its deadline.
func TestEndlessBytesOfTargetAreGivenUp(t *testing.T) {
	scenarios := []struct {
		name   string
		flood  *flood
		want   string // see outcome
		within time.Duration
	}{
		{"zeros in place of an answer", &flood{piece: kilobyte}, "broken", 0},
		{"a status line", &flood{start: "HTTP/1.1 200 ", piece: "OK"}, "broken", 0},
		{"a line of a head", &flood{start: "HTTP/1.1 200 OK\r\nId: ", piece: strings.Repeat("x", 1<<10)}, "broken", 0},
		{"lines of a head", &flood{start: "HTTP/1.1 200 OK\r\n", piece: "A: b\r\n"}, "broken", 0},
		{"interim answers", &flood{piece: "HTTP/1.1 103 Early Hints\r\n\r\n"}, "broken", 0},
		{"a body of what was not run", &flood{start: notRunHead + endlessChunk, piece: kilobyte}, "declined 503", 0},
		{"a slow body of what was not run", &flood{start: notRunHead + endlessChunk, piece: "x", every: 20 * time.Millisecond}, "declined 503", 100 * time.Millisecond},
		{"an answer to another request", &flood{start: strayHead + endlessChunk, piece: kilobyte}, "broken", 0},
		{"a slow answer to another request", &flood{start: strayHead + endlessChunk, piece: "x", every: 20 * time.Millisecond}, "broken", time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := network.NewMemory(nil)
				serve(t, memory, s.flood.answer)
				pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
				defer pool.Close()
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				began := time.Now()
				got := outcome(pool.Send(ctx, target, request("r1")))
				took := time.Since(began)
				time.Sleep(time.Minute) // until the target has noticed
				if got != s.want || took > s.within || s.flood.sent.Load() > 2<<20 {
					t.Errorf("%s after %v and %d bytes, want %s within %v", got, took, s.flood.sent.Load(), s.want, s.within)
				}
			})
		})
	}
}

// TestLinesBehindHeadAreNoHead guards against a sound answer that is given up for the lines of its body, which arrive with
// its head.
func TestLinesBehindHeadAreNoHead(t *testing.T) {
	body := strings.Repeat("\n", 1<<12)
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(nil)
		serve(t, memory, func(c net.Conn, _ int, id string) { _, _ = io.WriteString(c, answer(id, body)) })
		pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
		defer pool.Close()
		if got := outcome(pool.Send(context.Background(), target, request("r1"))); got != "200 "+body {
			t.Errorf("%.100q", got)
		}
	})
}

// TestLongLineThatIsNoHeadGivesShortError guards against log lines as long as what a target sent in place of a head.
func TestLongLineThatIsNoHeadGivesShortError(t *testing.T) {
	const most = 1 << 10
	for _, start := range []string{"", "HTTP/1.1 200 OK\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			memory := network.NewMemory(nil)
			serve(t, memory, func(c net.Conn, _ int, _ string) {
				_, _ = io.WriteString(c, start+strings.Repeat(kilobyte, 100)+"\r\n\r\n")
			})
			pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
			defer pool.Close()
			result, isBroken := pool.Send(context.Background(), target, request("r1")).(forward.Broken)
			if !isBroken || len(result.Err.Error()) > most {
				t.Errorf("%T, an error of %d bytes, want at most %d", result, len(result.Err.Error()), most)
			}
		})
	}
}

// TestManyLongHeadsFitIntoMemory guards against heads that are each within their limit and together more than the VM has.
func TestManyLongHeadsFitIntoMemory(t *testing.T) {
	const (
		bound     = 1 << 20
		exchanges = 60
		longHead  = 100 << 10
		soundHead = 12 << 10
	)
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(nil)
		serve(t, memory, func(c net.Conn, _ int, id string) {
			head := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nFill: "
			if id == "sound" {
				_, _ = io.WriteString(c, head+strings.Repeat("x", soundHead)+"\r\nContent-Length: 3\r\n\r\nyes")
				return
			}
			_, _ = io.WriteString(c, head+strings.Repeat("x", longHead))
			_, _ = c.Read(make([]byte, 1)) // the head has no end
		})
		account := buffers.NewAccount(buffers.Limits{Incoming: bound})
		pool := forward.NewPoolWithin(commontest.New(memory), readMetadata, askWho, nil, account)
		defer pool.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		var dropped atomic.Int64
		var all sync.WaitGroup
		for range exchanges {
			all.Go(func() {
				var limit *forward.LimitError
				if r, isBroken := pool.Send(ctx, target, request("long")).(forward.Broken); isBroken && errors.As(r.Err, &limit) && limit.Limit == forward.LimitMemory {
					dropped.Add(1)
				}
			})
		}
		synctest.Wait()
		if held, most := account.Usage().Incoming, int64(exchanges-bound/longHead); held > bound || dropped.Load() < most {
			t.Errorf("%d bytes are held of %d, %d exchanges dropped, want %d", held, bound, dropped.Load(), most)
		}
		if got := outcome(pool.Send(ctx, target, request("sound"))); got != "200 yes" {
			t.Errorf("a sound answer beside them: %s", got)
		}
		all.Wait()
		if left := account.Usage(); left != (buffers.Usage{}) {
			t.Errorf("at the end there is held %+v", left)
		}
	})
}
