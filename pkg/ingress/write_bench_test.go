package ingress

import (
	"context"
	"io"
	"net"
	"testing"

	"quaydock/pkg/buffers"
	"quaydock/pkg/clock"
)

// BenchmarkWriteToCaller measures the cost of one event to a caller that keeps up: on an ordinary connection, and with
// the answer read ahead, which costs no allocation and no goroutine.
func BenchmarkWriteToCaller(b *testing.B) {
	for _, ahead := range []bool{false, true} {
		name := map[bool]string{false: "ordinary", true: "read ahead"}[ahead]
		b.Run(name, func(b *testing.B) {
			c := dialReader(b)
			if ahead {
				wrapped := newBufferedConn(c).(*bufferedConn)
				openBuffer(context.Background(), ignoreCause, wrapped, clock.New(), buffers.NewAccount(buffers.LimitsFor(0)), 1<<20)
				c = wrapped
			}
			event := make([]byte, 200)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(event); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// dialReader returns a connection whose peer reads everything at once.
func dialReader(b *testing.B) net.Conn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		if peer, err := listener.Accept(); err == nil {
			_, _ = io.Copy(io.Discard, peer)
		}
	}()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close() })
	return c
}
