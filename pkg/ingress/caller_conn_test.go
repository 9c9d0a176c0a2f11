package ingress

import (
	"context"
	"net"
	"testing"

	"quaydock/pkg/network"
)

// A caller's connection is closed locally while its request is read, because a new connection replaces it or the
// entry stops. The request must not be sent to a target, since its answer could not be written.
func TestLocallyClosedConnectionCountsAsDisconnected(t *testing.T) {
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
	ctx := network.WithConn(context.Background(), accepted)
	if callerDisconnected(ctx) {
		t.Error("a waiting caller counts as disconnected")
	}
	if err := accepted.Close(); err != nil {
		t.Fatal(err)
	}
	if !callerDisconnected(ctx) {
		t.Error("a caller whose connection is closed counts as connected")
	}
}
