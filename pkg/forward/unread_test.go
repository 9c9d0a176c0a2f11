package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"quaydock/pkg/commontest"
	"quaydock/pkg/forward"
	"quaydock/pkg/network"
	"quaydock/pkg/routing"
)

// TestTargetThatReadsLateCompletesItsAnswer guards against an answer in progress that this end cuts, as its target has
// yet to read the rest of a long request.
func TestTargetThatReadsLateCompletesItsAnswer(t *testing.T) {
	tcp := network.NewTCP()
	listener, err := tcp.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	const events = 12
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: %d\r\n\r\n", events)
		for range events {
			time.Sleep(300 * time.Millisecond)
			if _, err := io.WriteString(c, "x"); err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}()
	pool := forward.NewPool(commontest.New(tcp), readMetadata, askWho, nil)
	defer pool.Close()
	long := request("r1")
	long.Method, long.Body = http.MethodPost, make([]byte, 16<<20)
	began := time.Now()
	at := &routing.Target{ID: "t", Service: "s", Address: listener.Addr().String()}
	if got, want := outcome(pool.Send(context.Background(), at, long)), "200 "+strings.Repeat("x", events); got != want {
		t.Errorf("%q after %v, want %q", got, time.Since(began).Round(time.Millisecond), want)
	}
}
