package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/commontest"
	"quaydock/pkg/forward"
	"quaydock/pkg/network"
)

// TestStatusThatNoAnswerHas guards against a caller who gets bytes of an engine in trouble as an answer, and against one who
// waits for the rest of what is none.
func TestStatusThatNoAnswerHas(t *testing.T) {
	inside := func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nId: {id}\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	const ownID = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nno"
	cases := []struct{ name, text, want string }{
		{"000 with an answer in its body", inside("000 X", ownID), "broken"},
		{"000 with an answer in its body that names no request", inside("000 X", nameless("200 OK", "no")), "broken"},
		{"000 with a report of not run in its body", inside("000 X", "HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), "broken"},
		{"000 with a report of not run", inside("000 X\r\nNot-Run: 1", ""), "broken"},
		{"000 without a body", inside("000 X", ""), "broken"},
		{"000 with a short body", inside("000 X", "bytes"), "broken"},
		{"000 without an id", nameless("000 X", ""), "broken"},
		{"099", inside("099 X", ""), "broken"},
		{"a sign", inside("+99 X", ""), "broken"},
		{"101, which nobody asked for", inside("101 X", ""), "broken"},
		{"101 and an answer", inside("101 X", "") + ownID, "broken"},
		{"600", inside("600 X", "no"), "broken"},
		{"999", inside("999 X", "no"), "broken"},
		{"another version", strings.Replace(ownID, "HTTP/1.1", "HTTP/2.0", 1), "broken"},
		{"the version 1.0", strings.Replace(ownID, "HTTP/1.1", "HTTP/1.0", 1), "200 no"},
		{"103 and an answer", "HTTP/1.1 103 X\r\n\r\n" + ownID, "200 no"},
		{"599", inside("599 X", "yes"), "599 yes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := network.NewMemory(nil)
				serve(t, memory, func(conn net.Conn, _ int, id string) {
					_, _ = io.WriteString(conn, strings.ReplaceAll(c.text, "{id}", id))
				})
				pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
				defer pool.Close()
				ctx, leave := context.WithTimeout(context.Background(), 8*time.Second)
				defer leave()
				began := time.Now()
				if got := outcome(pool.Send(ctx, target, request("r1"))); got != c.want {
					t.Errorf("%s, want %s", got, c.want)
				}
				if took := time.Since(began); took > 0 {
					t.Errorf("took %v", took)
				}
			})
		})
	}
}
