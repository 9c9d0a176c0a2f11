package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"

	"quaydock/pkg/buffers"
	"quaydock/pkg/clock"
	"quaydock/pkg/network"
)

// ignoreCause cancels nothing.
func ignoreCause(error) {}

// callerPair returns the entry's end of a connection, wrapped, and the caller's.
func callerPair(t *testing.T, n network.Network) (entry *bufferedConn, caller net.Conn) {
	t.Helper()
	listener, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	if caller, err = n.Dial(t.Context(), listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close(); _ = accepted.Close() })
	return newBufferedConn(accepted).(*bufferedConn), caller
}

// TestBufferedBytesArriveInOrder has callers read in random steps, and the connection used again after each answer.
func TestBufferedBytesArriveInOrder(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		entry, caller := callerPair(t, network.NewMemory(nil))
		account := buffers.NewAccount(buffers.LimitsFor(0))
		var want []byte
		got := make(chan []byte)
		const length = 3 << 20
		go func() {
			read := make([]byte, 0, length)
			for len(read) < length {
				n, err := caller.Read(read[len(read):min(length, len(read)+1+len(read)%7000)])
				if err != nil {
					break
				}
				read = read[:len(read)+n]
			}
			got <- read
		}()
		for len(want) < length {
			b := openBuffer(context.Background(), ignoreCause, entry, clock.New(), account, []int{4 << 10, 100 << 10, 1 << 20}[random.IntN(3)])
			for range random.IntN(100) {
				p := make([]byte, min(length-len(want), random.IntN(40_000)))
				for i := range p {
					p[i] = byte(random.Uint32())
				}
				if n, err := entry.Write(p); n != len(p) || err != nil {
					t.Fatal(n, err)
				}
				want = append(want, p...)
			}
			if err := b.finish(); err != nil {
				t.Fatal(err)
			}
		}
		if !bytes.Equal(<-got, want) {
			t.Errorf("seed %d: other bytes arrived", seed)
		}
		if u := account.Usage(); u != (buffers.Usage{}) {
			t.Errorf("seed %d: %+v is held", seed, u)
		}
	}
}

// TestBrokenOffReaderSeesReset guards against an answer that looks whole to a caller for whom the end of the connection
// is the end of the answer.
func TestBrokenOffReaderSeesReset(t *testing.T) {
	entry, caller := callerPair(t, network.NewTCP())
	account := buffers.NewAccount(buffers.Limits{Total: 256 << 10, Exchange: 1 << 20})
	b := openBuffer(context.Background(), ignoreCause, entry, clock.New(), account, 1<<20)
	piece := make([]byte, 10_000)
	var err error
	for range 10_000 {
		if _, err = entry.Write(piece); err != nil {
			break
		}
	}
	if !errors.Is(err, errSlowReader) || b.brokenOff() == nil {
		t.Fatalf("written until %v", err)
	}
	if _, err := io.Copy(io.Discard, caller); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the caller sees %v", err)
	}
	if u := account.Usage(); u != (buffers.Usage{}) {
		t.Errorf("%+v is held", u)
	}
}

// TestFinishedAnswerIsNotBrokenOff guards against the reset of a connection whose answer has been finished between the
// account's choice and its execution.
func TestFinishedAnswerIsNotBrokenOff(t *testing.T) {
	entry, caller := callerPair(t, network.NewTCP())
	b := openBuffer(context.Background(), ignoreCause, entry, clock.New(), buffers.NewAccount(buffers.LimitsFor(0)), 1<<20)
	if _, err := entry.Write([]byte("a")); err != nil {
		t.Fatal(err)
	}
	if err := b.finish(); err != nil {
		t.Fatal(err)
	}
	b.breakOff(buffers.End{})
	_ = entry.Close()
	if got, err := io.ReadAll(caller); string(got) != "a" || err != nil {
		t.Errorf("the caller got %q, %v", got, err)
	}
}

// TestEndOfRequestEndsWaitingForCaller guards against a request that outlives its deadline as its caller does not read.
func TestEndOfRequestEndsWaitingForCaller(t *testing.T) {
	entry, caller := callerPair(t, network.NewTCP())
	account := buffers.NewAccount(buffers.LimitsFor(0))
	ctx, cancel := context.WithCancelCause(context.Background())
	openBuffer(ctx, cancel, entry, clock.New(), account, 4<<10)
	cancel(errDeadline)
	if _, err := entry.Write(make([]byte, 1<<24)); !errors.Is(err, errDeadline) {
		t.Errorf("%v", err)
	}
	if _, err := entry.Write([]byte("a")); err == nil {
		t.Error("the answer goes on")
	}
	_ = entry.Close()
	// A caller of HTTP/1.0 would take an orderly end for that of the whole answer.
	if _, err := io.Copy(io.Discard, caller); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the caller sees %v", err)
	}
	if u := account.Usage(); u != (buffers.Usage{}) {
		t.Errorf("%+v is held", u)
	}
}
