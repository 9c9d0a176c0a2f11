package ingress

import (
	"context"
	"net"
	"testing"
)

// TestAConnectionThatIsClosedHereHasLeft closes a caller's connection at this end, as when another
// takes its place, or the entry is stopped, while its request is being read: what is sent on then could
// not be answered.
func TestAConnectionThatIsClosedHereHasLeft(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	ctx := withConn(context.Background(), accepted)
	if hasLeft(ctx) {
		t.Error("a caller that waits counts as gone")
	}
	if err := accepted.Close(); err != nil {
		t.Fatal(err)
	}
	if !hasLeft(ctx) {
		t.Error("a caller whose connection is closed counts as waiting")
	}
}
