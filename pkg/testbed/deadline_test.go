package testbed_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/testbed"
)

// A write deadline stays on its connection. An entry sets one for the last bytes of an answer. A plain service
// that ended its answer later than that, without further bytes, had the final chunk written under the expired
// deadline: the write failed at once, and a caller that was reading saw a truncated answer. It happened 40 s after
// the last byte but not after 1 s. The tests also check the next call on a connection, on which the old deadline
// has no effect.

// afterWriteDeadline is longer than the time limit of a write to a caller, 30 s by default.
const afterWriteDeadline = 40 * time.Second

// rawCaller is a caller's connection on which the test writes requests itself.
type rawCaller struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

// newRawCaller opens a connection to the first entry.
func newRawCaller(t *testing.T, bed *testbed.Bed) *rawCaller {
	t.Helper()
	conn, err := bed.Network.Dial(context.Background(), testbed.EntryAddress(0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &rawCaller{t: t, conn: conn, in: bufio.NewReader(conn)}
}

// send writes a request: its request line without the version, header lines that each end with CRLF, and its body.
func (r *rawCaller) send(line, header, body string) {
	r.t.Helper()
	_, err := fmt.Fprintf(r.conn, "%s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\n%s\r\n%s", line, testbed.Key, header, body)
	if err != nil {
		r.t.Fatal(err)
	}
}

// answer reads one complete answer.
func (r *rawCaller) answer() (status int, body string, err error) {
	response, err := http.ReadResponse(r.in, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	all, err := io.ReadAll(response.Body)
	return response.StatusCode, string(all), err
}

// withBody returns the header line for a body.
func withBody(body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n", len(body))
}

// TestConnectionServesAfterWriteDeadline: the second call on a connection is served after the write deadline of
// the first answer.
func TestConnectionServesAfterWriteDeadline(t *testing.T) {
	const call = `{"model":"chart-small","stream":true,"max_tokens":3,"messages":[]}`
	cases := []struct {
		name string
		next func(*rawCaller) // sends the second call
	}{
		{"chat call", func(r *rawCaller) { r.send("POST /v1/chat/completions", withBody(call), call) }},
		{"list of models", func(r *rawCaller) { r.send("GET /v1/models", "", "") }},
		{"call of a plain service", func(r *rawCaller) { r.send("GET /services/depths/berths", "", "") }},
		{"call with Expect: 100-continue", func(r *rawCaller) {
			r.send("POST /v1/chat/completions", withBody(call)+"Expect: 100-continue\r\n", "")
			line, err := r.in.ReadString('\n')
			if err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
				r.t.Errorf("got %q, error %v, want status 100", line, err)
				return
			}
			if _, err := r.in.ReadString('\n'); err != nil {
				r.t.Error(err)
			}
			_, _ = io.WriteString(r.conn, call)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Plain: true, Slots: 1})
				r := newRawCaller(t, bed)
				r.send("POST /v1/chat/completions", withBody(call), call)
				if status, _, err := r.answer(); status != http.StatusOK || err != nil {
					t.Fatal(status, err)
				}
				time.Sleep(afterWriteDeadline)
				c.next(r)
				if status, body, err := r.answer(); status != http.StatusOK || err != nil {
					t.Errorf("status %d, body %q, %v", status, body, err)
				}
			})
		})
	}
}

// TestAnswerEndsAfterWriteDeadline: a plain service ends its answer after the write deadline of its last byte. The
// answer is complete.
func TestAnswerEndsAfterWriteDeadline(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, afterWriteDeadline, 2 * time.Minute} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bed := startTestbed(t, testbed.Options{Entries: 1, Plain: true, Slots: 1})
				replaceTarget(t, bed, func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, "begun")
					_ = http.NewResponseController(w).Flush()
					time.Sleep(pause)
				})
				r := newRawCaller(t, bed)
				r.send("GET /services/depths/berths", "Quaydock-Deadline-Ms: 600000\r\n", "")
				if status, body, err := r.answer(); status != http.StatusOK || body != "begun" || err != nil {
					t.Errorf("status %d, body %q, %v", status, body, err)
				}
			})
		})
	}
}

// replaceTarget serves the address of the first target with another handler.
func replaceTarget(t *testing.T, bed *testbed.Bed, answer http.HandlerFunc) {
	t.Helper()
	listener, err := bed.Network.Listen(testbed.TargetAddress(0))
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: answer}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
}
