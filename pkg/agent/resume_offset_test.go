package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/declaration"
	"quaydock/pkg/network"
)

// TestRestFromAnotherByteIsNotJoined guards against answers whose rest repeats bytes, or lacks some, as the target went on
// elsewhere than asked.
func TestRestFromAnotherByteIsNotJoined(t *testing.T) {
	const whole = "data: a\n\ndata: b\n\ndata: c\n\n"
	const part = 9 // bytes, of the first event
	cases := []struct {
		name  string
		from  int
		field string // the header line of the rest
		whole bool
	}{
		{"as asked", part, fmt.Sprintf("Content-Range: bytes %d-%d/%d\r\n", part, len(whole)-1, len(whole)), true},
		{"as asked, of unknown length", part, fmt.Sprintf("Content-Range: bytes %d-/*\r\n", part), true},
		{"not said", part, "", true},
		{"from the beginning", 0, fmt.Sprintf("Content-Range: bytes 0-%d/%d\r\n", len(whole)-1, len(whole)), false},
		{"behind the next event", 2 * part, fmt.Sprintf("Content-Range: bytes %d-%d/%d\r\n", 2*part, len(whole)-1, len(whole)), false},
		{"from no number", part, "Content-Range: bytes */27\r\n", false},
	}
	for _, s := range cases {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := network.NewMemory(nil)
				listener, err := memory.Listen("10.0.0.9:80")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = listener.Close() }()
				first := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", part, whole[:part])
				rest := whole[s.from:]
				again := fmt.Sprintf("HTTP/1.1 206 Partial Content\r\n%sContent-Length: %d\r\n\r\n%s", s.field, len(rest), rest)
				go serveByMethod(listener, first, again)
				client := newTargetClient(commontest.New(memory), func(clock.Millis) {})
				defer client.close()
				client.set(declaration.Target{Name: "t", Address: "http://10.0.0.9:80", Resumes: true})
				log := newAnswerLog(1 << 20)
				err = client.run(context.Background(), call{request: "r1", method: http.MethodPost, path: "/", header: make(http.Header)}, log)
				if (err == nil) != s.whole || s.whole && string(log.data) != whole || !s.whole && string(log.data) != whole[:part] {
					t.Errorf("%v, %q", err, log.data)
				}
			})
		})
	}
}

// serveByMethod answers each POST in one way and each GET in another, a connection for each.
func serveByMethod(listener net.Listener, post, get string) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			answer := post
			if r.Method == http.MethodGet {
				answer = get
			}
			_, _ = io.WriteString(c, answer)
		}()
	}
}
