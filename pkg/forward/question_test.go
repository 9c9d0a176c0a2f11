package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/commontest"
	"quaydock/pkg/forward"
	"quaydock/pkg/network"
	"quaydock/pkg/routing"
)

// asked is a target whose answers end with their connections. It answers the nth question to it by a script, which returns
// what it sends; with nothing to send it closes the connection.
type asked struct {
	answers   func(n int) string
	questions atomic.Int64
	conns     atomic.Int64
}

// serve runs the target until the test ends.
func (a *asked) serve(t testing.TB, at network.Network) {
	t.Helper()
	accept(t, at, func(c net.Conn, _ int) {
		a.conns.Add(1)
		a.converse(c)
	})
}

// converse serves one connection.
func (a *asked) converse(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path != pathWho {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nyes", r.Header.Get("Id"))
			return
		}
		text := a.answers(int(a.questions.Add(1)))
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// says returns the answer to a question.
func says(status int, header string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", status, header)
}

// TestEndIsJudgedByWhatItsTargetSays guards against sound answers that are broken off as their target is busy, and parts
// that look whole as it says nothing.
func TestEndIsJudgedByWhatItsTargetSays(t *testing.T) {
	const itself, next = "Target: t\r\n", "Target: next\r\n"
	after := func(wait time.Duration, text string) func(int) string {
		return func(int) string {
			time.Sleep(wait)
			return text
		}
	}
	from := func(first int, text, before string) func(int) string {
		return func(n int) string {
			if n < first {
				return before
			}
			return text
		}
	}
	cases := []struct {
		name    string
		answers func(n int) string
		want    string
		within  time.Duration
	}{
		{"itself", after(0, says(200, itself)), "200 yes", 0},
		{"itself, which leaves", after(0, says(503, itself+"Connection: close\r\n")), "200 yes", 0},
		{"itself, once a slot is free", after(800*time.Millisecond, says(200, itself)), "200 yes", 800 * time.Millisecond},
		{"itself, after it was full", from(4, says(200, itself), says(503, "Not-Run: 1\r\n")), "200 yes", 400 * time.Millisecond},
		{"itself, which is full", after(0, says(503, "Not-Run: 1\r\n"+itself)), "200 yes", 0},
		{"itself, after it closed connections beyond its limit", from(4, says(200, itself), ""), "200 yes", 400 * time.Millisecond},
		{"itself, after an answer to another request", from(2, says(200, itself), says(200, "Id: other\r\n"+itself)), "200 yes", 100 * time.Millisecond},
		{"another process", after(0, says(200, next)), "broken off", 0},
		{"another process, full", after(0, says(503, "Not-Run: 1\r\n"+next)), "broken off", 0},
		{"another process, which does not name itself", after(0, says(421, "")), "broken off", 0},
		{"another process, after it closed connections", from(3, says(421, ""), ""), "broken off", 200 * time.Millisecond},
		{"nothing but that it is full", after(0, says(503, "Not-Run: 1\r\n")), "broken off", time.Second},
		{"nothing of who it is", after(0, says(200, "")), "broken off", time.Second},
		{"nothing in time", after(5*time.Second, says(200, itself)), "broken off", time.Second},
		{"nothing at all", after(0, ""), "broken off", time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := network.NewMemory(nil)
				(&asked{answers: c.answers}).serve(t, memory)
				pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
				defer pool.Close()
				began := time.Now()
				if got := outcome(pool.Send(context.Background(), target, request("r1"))); got != c.want {
					t.Errorf("%s, want %s", got, c.want)
				}
				if took := time.Since(began); took > c.within {
					t.Errorf("took %v, want %v at most", took, c.within)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestAnswerIsNotWholeIfItsTargetCannotBeAsked guards against a part that looks whole at a service whose targets do not say
// who they are.
func TestAnswerIsNotWholeIfItsTargetCannotBeAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(nil)
		(&asked{}).serve(t, memory)
		pool := forward.NewPool(commontest.New(memory), readMetadata, func(*routing.Target) *forward.Request { return nil }, nil)
		defer pool.Close()
		if got := outcome(pool.Send(context.Background(), target, request("r1"))); got != "broken off" {
			t.Error(got)
		}
	})
}

// TestOneQuestionServesAnswersThatEndedBeforeIt guards against a question for each answer of a busy target, and against an
// answer that is judged by a question sent before its end.
func TestOneQuestionServesAnswersThatEndedBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 40
		memory := network.NewMemory(nil)
		a := &asked{}
		a.answers = func(n int) string {
			time.Sleep(30 * time.Millisecond)
			if n > 2 {
				return says(200, "Target: next\r\n")
			}
			return says(200, "Target: t\r\n")
		}
		a.serve(t, memory)
		pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
		defer pool.Close()
		var ended sync.WaitGroup
		var whole atomic.Int64
		send := func() {
			if outcome(pool.Send(context.Background(), target, request("r1"))) == "200 yes" {
				whole.Add(1)
			}
		}
		for range requests {
			ended.Go(send)
		}
		ended.Wait()
		if n, q := whole.Load(), a.questions.Load(); n != requests || q > 2 {
			t.Errorf("%d of %d answers are whole by %d questions", n, requests, q)
		}
		for a.questions.Load() < 2 {
			send()
		}
		if before := whole.Load(); true {
			if send(); whole.Load() != before {
				t.Error("an answer that ended after the last sound question is whole")
			}
		}
	})
}
