package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/forward"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/routing"
)

// at is the address of the target.
const at = "10.0.0.9:80"

// engine answers with scripted bytes. It is called for each request that it has read, with the number of the
// connection and the request's id.
type engine func(c net.Conn, connection int, id string)

// serve runs an engine at the address until the test ends.
func serve(t *testing.T, memory network.Network, e engine) {
	t.Helper()
	accept(t, memory, func(c net.Conn, n int) { converse(c, n, e) })
}

// accept serves the connections to the address, which are counted from 1, until the test ends.
func accept(t testing.TB, memory network.Network, serve func(c net.Conn, n int)) {
	t.Helper()
	listener, err := memory.Listen(at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c, n)
		}
	}()
}

// converse serves one connection as the target.
func converse(c net.Conn, n int, e engine) { converseAs(c, "t", n, e) }

// pathWho is where targets say who they are, in the header field Target.
const pathWho = "/who"

// converseAs serves one connection as the process of a target. The engine is called once a request's body has been read,
// or before that if the request has the header field Early; the rest of the body is then never read.
func converseAs(c net.Conn, process string, n int, e engine) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == pathWho {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTarget: %s\r\nContent-Length: 0\r\n\r\n", process)
			continue
		}
		if request.Header.Get("Early") == "" {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		e(c, n, request.Header.Get("Id"))
		if request.Header.Get("Early") != "" {
			time.Sleep(time.Minute) // the rest of the body is not read
		}
	}
}

// askWho returns the request that a target answers with its id.
func askWho(*routing.Target) *forward.Request {
	return &forward.Request{Method: "GET", Path: pathWho, Host: "h"}
}

// readMetadata reads the fields that the scripted engines set: Id, Target and Not-Run.
func readMetadata(h map[string][]string) forward.AnswerMetadata {
	header := http.Header(h)
	return forward.AnswerMetadata{ID: header.Get("Id"), Target: ids.Target(header.Get("Target")), NotRun: header.Get("Not-Run") != ""}
}

// answer returns the bytes of a complete answer to a request, with status 200.
func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// nameless returns the bytes of a complete answer that names no request. The status may be followed by header fields.
func nameless(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// request returns a request with a body, whose id is also in the header field Id.
func request(id string) *forward.Request {
	return &forward.Request{ID: id, Method: "POST", Path: "/p/q?x=1", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("question")}
}

var target = &routing.Target{ID: "t", Address: at}

// outcome describes a result in a word or two, with the body of a complete answer.
func outcome(r forward.Result) string {
	switch r := r.(type) {
	case forward.NotSent:
		return "not sent"
	case forward.Withheld:
		return "withheld"
	case forward.Declined:
		return fmt.Sprint("declined ", r.Status)
	case *forward.Answer:
		defer r.Close()
		body, err := io.ReadAll(r)
		if err != nil {
			return "broken off"
		}
		return fmt.Sprint(r.Status, " ", string(body))
	default:
		return "broken"
	}
}

// TestExchange has a target answer in every form that it may, and checks that the result tells a complete answer from a
// truncated one, and a request that did not run from one that may have run.
func TestExchange(t *testing.T) {
	write := func(text string) engine {
		return func(c net.Conn, _ int, id string) {
			_, _ = io.WriteString(c, strings.ReplaceAll(text, "{id}", id))
		}
	}
	writeAndClose := func(text string) engine {
		return func(c net.Conn, n int, id string) {
			write(text)(c, n, id)
			_ = c.Close()
		}
	}
	scenarios := []struct {
		name   string
		engine engine
		want   string // see outcome
	}{
		{"a complete answer", write(answer("{id}", "yes")), "200 yes"},
		{"an answer in chunks", write("HTTP/1.1 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n"), "200 yes"},
		{"an answer that ends with its connection", writeAndClose("HTTP/1.1 200 OK\r\nId: {id}\r\n\r\nyes"), "200 yes"},
		{"an interim answer first", write("HTTP/1.1 103 Early Hints\r\n\r\n" + answer("{id}", "yes")), "200 yes"},
		{"a failure of the target", write("HTTP/1.1 500 No\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"), "500 "},
		{"an answer to another request first", write(answer("other", "no") + answer("{id}", "yes")), "200 yes"},
		{"answers to other requests only", writeAndClose(answer("other", "no")), "broken"},
		{"an unframed answer to another request", writeAndClose("HTTP/1.1 200 OK\r\nId: other\r\n\r\nno"), "broken"},
		{"a refusal that reports the request as not run", write("HTTP/1.1 503 Full\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), "declined 503"},
		{"an answer that names no request first", write(nameless("200 OK", "no") + answer("{id}", "yes")), "200 yes"},
		{"answers that name no request only", writeAndClose(nameless("200 OK", "no")), "broken"},
		{"an unframed answer that names no request", writeAndClose("HTTP/1.1 200 OK\r\n\r\nno"), "broken"},
		{"a report of not run that names no request", writeAndClose(nameless("503 Full\r\nNot-Run: 1", "")), "broken"},
		{"the same before the answer", write(nameless("503 Full\r\nNot-Run: 1", "") + answer("{id}", "yes")), "200 yes"},
		{"a 421 that names no request", writeAndClose(nameless("421 Moved", "")), "broken"},
		{"another target at the address", write("HTTP/1.1 421 Moved\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"), "declined 421"},
		{"a refusal without that report", write("HTTP/1.1 503 Full\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"), "503 "},
		{"a closed connection", writeAndClose(""), "broken"},
		{"bytes that are no answer", writeAndClose("\x00\x01garbage\r\n\r\n"), "broken"},
		{"half a head", writeAndClose("HTTP/1.1 200 OK\r\nId: "), "broken"},
		{"a truncated answer", writeAndClose("HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 9\r\n\r\nyes"), "broken off"},
		{"truncated chunks", writeAndClose("HTTP/1.1 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n"), "broken off"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := network.NewMemory(nil)
				serve(t, memory, s.engine)
				pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
				defer pool.Close()
				if got := outcome(pool.Send(context.Background(), target, request("r1"))); got != s.want {
					t.Errorf("%s, want %s", got, s.want)
				}
			})
		})
	}
}

// TestUnreachableTargetIsNotSent: nothing listens at the address, so the request may be sent to another target.
func TestUnreachableTargetIsNotSent(t *testing.T) {
	pool := forward.NewPool(commontest.New(network.NewMemory(nil)), readMetadata, askWho, nil)
	if got := outcome(pool.Send(context.Background(), target, request("r1"))); got != "not sent" {
		t.Error(got)
	}
}

// TestNoRequestIsRepeated counts the requests that reach a target which closes connections without an answer, also
// connections that were used before: an HTTP library would send the request again.
func TestNoRequestIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(nil)
		seen := map[string]int{}
		serve(t, memory, func(c net.Conn, _ int, id string) {
			seen[id]++
			if id == "r2" {
				_ = c.Close()
				return
			}
			_, _ = io.WriteString(c, answer(id, "yes"))
		})
		pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
		defer pool.Close()
		for _, id := range []string{"r1", "r2", "r3"} {
			outcome(pool.Send(context.Background(), target, request(id)))
		}
		for id, n := range seen {
			if n != 1 {
				t.Errorf("request %s arrived %d times", id, n)
			}
		}
	})
}

// TestConnectionReuse guards against a second request on a connection on which the first exchange is not over, or
// which the target is about to close: its answer could be taken for that of the second, or the request be lost.
func TestConnectionReuse(t *testing.T) {
	scenarios := []struct {
		name   string
		answer string        // of the target; {id} stands for the request's id
		header http.Header   // of both requests; if set, they have a body of 4 MiB
		idle   time.Duration // after each answer
		want   int           // connections for two requests
	}{
		{"a connection is reused", answer("{id}", "yes"), nil, 0, 1},
		{"surplus bytes: not reused", answer("{id}", "yes") + answer("{id}", "again"), nil, 0, 2},
		{"closed by the target: not reused", "HTTP/1.1 200 OK\r\nId: {id}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", nil, 0, 2},
		{"idle for too long: not reused", answer("{id}", "yes"), nil, 5 * time.Second, 2},
		{"idle beyond Keep-Alive: not reused", "HTTP/1.1 200 OK\r\nId: {id}\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n", nil, time.Second, 2},
		{"request body not yet written: not reused", answer("{id}", "yes"), http.Header{"Early": {"1"}}, 0, 2},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := network.NewMemory(nil)
				connections := 0
				serve(t, memory, func(c net.Conn, n int, id string) {
					connections = max(connections, n)
					_, _ = io.WriteString(c, strings.ReplaceAll(s.answer, "{id}", id))
				})
				pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
				defer pool.Close()
				for _, id := range []string{"r1", "r2"} {
					r := request(id)
					for name, values := range s.header {
						r.Header[name] = values
						r.Body = make([]byte, 4<<20) // more than any buffer takes
					}
					if got := outcome(pool.Send(context.Background(), target, r)); !strings.HasPrefix(got, "200") {
						t.Fatalf("%s: %s", id, got)
					}
					time.Sleep(s.idle)
				}
				if connections != s.want {
					t.Errorf("%d connections, want %d", connections, s.want)
				}
				time.Sleep(2 * time.Minute) // until the target has ended
			})
		})
	}
}

// TestCancelledRequestClosesConnection: a target learns only from the closed connection that nobody waits for the
// answer any more.
func TestCancelledRequestClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(nil)
		closed := make(chan time.Time, 1)
		serve(t, memory, func(c net.Conn, _ int, _ string) {
			_, _ = c.Read(make([]byte, 1)) // returns when the connection ends
			closed <- time.Now()
		})
		pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
		defer pool.Close()
		ctx, leave := context.WithTimeout(context.Background(), time.Second)
		defer leave()
		began := time.Now()
		if got := outcome(pool.Send(ctx, target, request("r1"))); got != "broken" {
			t.Error(got)
		}
		if at := <-closed; at.Sub(began) > 1100*time.Millisecond {
			t.Errorf("closed after %v", at.Sub(began))
		}
	})
}

// TestAdviceDuringDialIsHeeded has advice from another answer of the target arrive while the connection is being
// made, which may take a third of a second after the assignment. The request must be withheld if the advice still
// blocks it when the connection is there.
func TestAdviceDuringDialIsHeeded(t *testing.T) {
	advices := []struct {
		advice  advisory.Advice // arrives 100 ms after the dial has begun, which takes 300 ms
		want    string          // see outcome
		arrived int64           // requests that reached the target
	}{
		{advisory.Advice{}, "200 yes", 1},
		{advisory.Advice{Leaving: true}, "withheld", 0},
		{advisory.Advice{Backoff: clock.Second}, "withheld", 0},
		{advisory.Advice{Backoff: 10}, "200 yes", 1}, // 10 ms: over when the connection is there
	}
	for _, a := range advices {
		synctest.Test(t, func(t *testing.T) {
			memory := network.NewMemory(nil)
			var arrived atomic.Int64
			serve(t, memory, func(c net.Conn, _ int, id string) {
				arrived.Add(1)
				_, _ = io.WriteString(c, answer(id, "yes"))
			})
			c := commontest.New(slowDial{memory, 300 * time.Millisecond})
			tracker := advisory.NewTracker(c)
			pool := forward.NewPool(c, readMetadata, askWho, tracker)
			time.AfterFunc(100*time.Millisecond, func() { tracker.Observe(target.Incarnation(), 0, "other", a.advice) })
			if got := outcome(pool.Send(context.Background(), target, request("r1"))); got != a.want || arrived.Load() != a.arrived {
				t.Errorf("%+v: %s, arrived %d times; want %s, %d", a.advice, got, arrived.Load(), a.want, a.arrived)
			}
			pool.Close()
			time.Sleep(time.Minute)
		})
	}
}
