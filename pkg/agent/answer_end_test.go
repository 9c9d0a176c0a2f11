package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"bufio"

	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/declaration"
	"quaydock/pkg/network"
)

// TestAnswerThatEndsEarlyIsNotVouchedFor guards against an end marker behind an answer that lacks a part.
func TestAnswerThatEndsEarlyIsNotVouchedFor(t *testing.T) {
	const (
		unframed = ""
		events   = "Content-Type: text/event-stream\r\n"
		chunks   = "Transfer-Encoding: chunked\r\n"
		token    = "data: {\"delta\":\"a\"}\n\n"
	)
	cases := []struct {
		name, header, body string
		model              bool
		ends               bool // the target's process has ended when the answer ends
		whole              bool
	}{
		{"a model's stream", events, token + "data: [DONE]\n\n", true, false, true},
		{"a model's stream with CR LF", events, "data: a\r\n\r\ndata: [DONE]\r\n\r\n", true, false, true},
		{"a model's stream and a comment", events, token + "data: [DONE]\n\n: end\n", true, false, true},
		{"a model's stream whose closing event has a name", events, token + "event: end\ndata: [DONE]\n\n", true, false, true},
		{"a model's stream, no closing event", events, token, true, false, false},
		{"a model's stream, torn in the closing event", events, token + "data: [DONE]\n", true, false, false},
		{"a model's stream, torn behind the closing event", events, token + "data: [DONE]\n\ndata", true, false, false},
		{"a model's stream, text like the closing event", events, "data: {\"delta\":\"data: [DONE]\"}\n\n", true, false, false},
		{"a service's stream", events, token, false, false, true},
		{"a service's stream, torn", events, token + "data: {", false, false, false},
		{"a service's stream, torn before the empty line", events, "data: a\n", false, false, false},
		{"a service's answer", unframed, "what", false, false, true},
		{"a service's answer, the process has ended", unframed, "wh", false, true, false},
		{"a service's stream, the process has ended", events, token, false, true, false},
		{"a model's answer, the process has ended", unframed, "{\"cho", true, true, false},
	}
	for _, framing := range []string{unframed, chunks} {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%s, chunks %t", c.name, framing == chunks), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					whole := c.whole || c.ends && framing == chunks // the last chunk was sent
					body := c.body
					if framing == chunks {
						body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
					}
					log, err := runOnce(t, "HTTP/1.1 200 OK\r\n"+c.header+framing+"\r\n"+body, c.model, c.ends)
					if (err == nil) != whole {
						t.Errorf("%v, whole: %t", err, whole)
					}
					if got := string(log.data); got != c.body {
						t.Errorf("%q was passed on, want %q", got, c.body)
					}
				})
			})
		}
	}
}

// runOnce sends a call to a target that answers with the given bytes and closes the connection, and its listener too if
// it ends. It returns the answer, and the error of run.
func runOnce(t *testing.T, answer string, model, ends bool) (*answerLog, error) {
	t.Helper()
	client := clientOf(t, func(c net.Conn, listener net.Listener) {
		answerOnce(c, answer, func() {
			if ends {
				_ = listener.Close()
			}
		})
	})
	log := newAnswerLog(1 << 20)
	return log, client.run(context.Background(), call{request: "r1", method: http.MethodPost, path: "/", header: make(http.Header), model: model}, log)
}

// clientOf returns a client of a target that serves each connection with a function, until the test ends.
func clientOf(t *testing.T, serve func(c net.Conn, listener net.Listener)) *targetClient {
	t.Helper()
	const address = "10.0.0.9:80"
	memory := network.NewMemory(nil)
	listener, err := memory.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c, listener)
		}
	}()
	client := newTargetClient(commontest.New(memory), func(clock.Millis) {})
	t.Cleanup(client.close)
	client.set(declaration.Target{Name: "t", Address: "http://" + address})
	return client
}

// answerOnce answers one request, if there is one, and closes the connection.
func answerOnce(c net.Conn, answer string, end func()) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, answer)
	end()
}
