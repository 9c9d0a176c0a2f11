package network_test

import (
	"context"
	"io"
	"net"
	"testing"

	"quaydock/pkg/network"
)

// TestWriteNowDoesNotWait guards against a writer that waits for a peer that does not read, or loses what it wrote.
func TestWriteNowDoesNotWait(t *testing.T) {
	networks := map[string]network.Network{"sockets": network.NewTCP(), "memory": network.NewMemory(nil)}
	for name, n := range networks {
		t.Run(name, func(t *testing.T) {
			listener, err := n.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			peer, err := n.Dial(context.Background(), listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			c, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			total := fill(t, c)
			got := make(chan int64)
			go func() {
				read, _ := io.Copy(io.Discard, peer)
				got <- read
			}()
			_ = c.Close()
			if read := <-got; read != int64(total) {
				t.Errorf("%d bytes read of %d", read, total)
			}
			if n, err := network.NewNowWriter(c).WriteNow([]byte("a")); n != 0 || err == nil {
				t.Errorf("after the close: %d, %v", n, err)
			}
		})
	}
}

// fill writes to a connection until nothing more is taken, and returns how much was.
func fill(t *testing.T, c net.Conn) int {
	t.Helper()
	w := network.NewNowWriter(c)
	piece := make([]byte, 100_000)
	const enough = 1 << 28 // no buffer is as large
	for total := 0; total < enough; {
		n, err := w.WriteNow(piece)
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			return total
		}
		total += n
	}
	t.Fatal("it takes everything")
	return 0
}
