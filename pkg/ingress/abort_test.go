package ingress_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"quaydock/pkg/commontest"
	"quaydock/pkg/descriptors"
	"quaydock/pkg/ingress"
	"quaydock/pkg/network"
)

// TestBrokenOffAnswerLooksCompleteToNoCaller covers callers who only see their connection end.
func TestBrokenOffAnswerLooksCompleteToNoCaller(t *testing.T) {
	cases := []struct {
		name, request string
		abort, reset  bool // the answer is broken off; the caller's connection must be reset
	}{
		{"HTTP/1.1", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", true, false},
		{"HTTP/1.1, to be closed", "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", true, false},
		{"HTTP/1.0", "GET / HTTP/1.0\r\nHost: h\r\n\r\n", true, true},
		{"HTTP/1.0, kept", "GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", true, true},
		{"HTTP/1.0, a whole answer", "GET / HTTP/1.0\r\nHost: h\r\n\r\n", false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := readRaw(t, c.request, c.abort)
			if errors.Is(err, syscall.ECONNRESET) != c.reset || err != nil && !c.reset {
				t.Errorf("the connection ended with %v, reset expected: %t", err, c.reset)
			}
			if strings.Contains(got, "\r\n0\r\n") {
				t.Errorf("the answer has its last chunk: %q", got)
			}
			if !strings.Contains(got, "part") {
				t.Errorf("the part that was sent is missing: %q", got)
			}
		})
	}
}

// readRaw sends a request to a server, on a connection of the kernel, and returns what it reads to the connection's end.
// The server sends a part of an answer, and then breaks it off or ends it.
func readRaw(t *testing.T, request string, abort bool) (string, error) {
	t.Helper()
	arrived := make(chan struct{})
	s := ingress.NewServer(commontest.New(network.NewMemory(nil)), ingress.Handlers{Serve: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		if abort {
			<-arrived
			panic(http.ErrAbortHandler)
		}
	})}, descriptors.LimitsFor(1024))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(listener)
	defer func() { _ = s.Shutdown(context.Background()) }()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	told := !abort
	buffer := make([]byte, 1<<10)
	for {
		n, err := c.Read(buffer)
		got.Write(buffer[:n])
		if !told && strings.Contains(got.String(), "part") {
			told = true
			close(arrived)
		}
		if errors.Is(err, io.EOF) {
			return got.String(), nil
		}
		if err != nil {
			return got.String(), err
		}
	}
}
