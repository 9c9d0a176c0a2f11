package forward_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"quaydock/pkg/commontest"
	"quaydock/pkg/forward"
	"quaydock/pkg/network"
	"quaydock/pkg/routing"
)

// TestKernelHoldsLittleOfWhatNobodyReads guards against megabytes in the kernel for each connection on which a target
// sends ahead of a caller that pauses, or behind an answer that is whole.
func TestKernelHoldsLittleOfWhatNobodyReads(t *testing.T) {
	const (
		length = 64 << 20  // of the answer
		most   = 256 << 10 // that may lie unread: in the receive buffer and the sender's
	)
	for _, s := range []struct {
		name string
		read int64
	}{
		{"the caller pauses", length / 2},
		{"the connection is idle", length},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			tcp := network.NewTCP()
			listener, err := tcp.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_ = c.(*net.TCPConn).SetWriteBuffer(32 << 10) // so that it is not what takes the bytes
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: %d\r\n\r\n", length)
				for piece := make([]byte, 64<<10); err == nil; {
					var n int
					n, err = c.Write(piece)
					sent.Add(int64(n))
				}
			}()
			pool := forward.NewPool(commontest.New(tcp), readMetadata, askWho, nil)
			defer pool.Close()
			at := &routing.Target{ID: "t", Service: "s", Address: listener.Addr().String()}
			answer, ok := pool.Send(context.Background(), at, request("r1")).(*forward.Answer)
			if !ok {
				t.Fatal("no answer")
			}
			defer answer.Close()
			if n, err := io.CopyN(io.Discard, answer, s.read); err != nil {
				t.Fatalf("%d bytes read: %v", n, err)
			}
			if s.read == length {
				if _, err := answer.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
					t.Fatal(err)
				}
			}
			time.Sleep(500 * time.Millisecond)
			if unread := sent.Load() - s.read; unread > most {
				t.Errorf("%d bytes lie unread, want %d at most", unread, most)
			}
		})
	}
}
