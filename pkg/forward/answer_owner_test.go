package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/commontest"
	"quaydock/pkg/forward"
	"quaydock/pkg/network"
)

// call is a request that a repeater has read.
type call struct {
	connection int // its number, from 1
	number     int // of the call on its connection, from 1
	id         string
	path       string
}

// repeater is a target that sends two answers to a call: one at once, and one late, in the place where the next one on that
// connection is expected. An empty late one is not sent. It closes the connection behind an answer that has no length.
type repeater struct {
	answer func(c call) (atOnce, late string)
	wait   time.Duration // before the answer to a call that a late answer has gone before
}

// converse serves one connection.
func (r *repeater) converse(c net.Conn, connection int) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	late := ""
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if late != "" {
			_, _ = io.WriteString(c, late)
			time.Sleep(r.wait)
		}
		var atOnce string
		atOnce, late = r.answer(call{connection, number, request.Header.Get("Id"), request.URL.Path})
		if _, err := io.WriteString(c, atOnce); err != nil || atOnce == "" || late == hangUp {
			return
		}
	}
}

// hangUp is what a repeater returns as the late answer to close the connection.
const hangUp = "hang up"

// unframed returns the bytes of an answer that ends with its connection.
func unframed(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", id, body)
}

// TestAnswerToQuestionReachesNoCaller guards against a caller who gets the answer to a question, which comes behind a late
// second answer.
func TestAnswerToQuestionReachesNoCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(nil)
		r := &repeater{wait: 5 * time.Millisecond, answer: func(c call) (string, string) {
			switch {
			case c.path == pathWho:
				return says(200, "Target: t\r\n"), ""
			case c.id == "slow":
				time.Sleep(100 * time.Millisecond)
				return unframed(c.id, c.id), hangUp
			case c.id == "twice":
				return answer(c.id, c.id), answer(c.id, c.id)
			default:
				return answer(c.id, c.id), ""
			}
		}}
		accept(t, memory, r.converse)
		pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
		defer pool.Close()
		slow := make(chan string)
		go func() { slow <- outcome(pool.Send(context.Background(), target, request("slow"))) }()
		time.Sleep(50 * time.Millisecond)
		if got := outcome(pool.Send(context.Background(), target, request("twice"))); got != "200 twice" {
			t.Error(got)
		}
		if got := <-slow; got != "200 slow" {
			t.Errorf("the answer without a length: %s", got)
		}
		for _, id := range []string{"a", "b", "c"} {
			if got := outcome(pool.Send(context.Background(), target, request(id))); got != "200 "+id {
				t.Errorf("%s: %s", id, got)
			}
		}
		time.Sleep(time.Second) // until the target has ended
	})
}

// TestSecondRefusalIsNotTheAnswerToARepeat guards against a request that counts as not run, and is run again elsewhere, as the
// refusal of its former try at the target comes twice.
func TestSecondRefusalIsNotTheAnswerToARepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(nil)
		const refusal = "HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		calls := 0
		r := &repeater{answer: func(c call) (string, string) {
			if calls++; calls == 1 {
				return refusal, refusal
			}
			return answer(c.id, "yes"), ""
		}}
		accept(t, memory, r.converse)
		pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
		defer pool.Close()
		for _, want := range []string{"declined 503", "200 yes"} {
			if got := outcome(pool.Send(context.Background(), target, request("r1"))); got != want {
				t.Errorf("%s, want %s", got, want)
			}
		}
	})
}

// TestSecondAnswerToAQuestionJudgesNoLaterEnd guards against a part of an answer that looks whole, as the answer to an
// earlier question comes twice.
func TestSecondAnswerToAQuestionJudgesNoLaterEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(nil)
		questions := 0
		r := &repeater{answer: func(c call) (string, string) {
			if c.path != pathWho {
				if c.id == "late" {
					time.Sleep(time.Second)
				}
				return unframed(c.id, "yes"), hangUp
			}
			questions++
			switch {
			case questions == 1:
				return says(200, "Target: t\r\n"), says(200, "Target: t\r\n")
			case c.number == 1:
				return says(200, "Target: next\r\n"), ""
			default:
				return "", ""
			}
		}}
		accept(t, memory, r.converse)
		pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
		defer pool.Close()
		late := make(chan string)
		go func() { late <- outcome(pool.Send(context.Background(), target, request("late"))) }()
		if got := outcome(pool.Send(context.Background(), target, request("early"))); got != "200 yes" {
			t.Errorf("before the process ended: %s", got)
		}
		if got := <-late; got != "broken off" {
			t.Errorf("after the process had ended: %s", got)
		}
	})
}

// TestAnswerToARequestWithoutAnID guards against a caller without an id who gets bytes behind another answer.
func TestAnswerToARequestWithoutAnID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(nil)
		r := &repeater{answer: func(c call) (string, string) {
			if c.id == "" {
				return nameless("400 No id\r\nNot-Run: 1", ""), ""
			}
			return answer(c.id, "yes"), nameless("200 OK", "no")
		}}
		accept(t, memory, r.converse)
		pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
		defer pool.Close()
		unnamed := request("")
		delete(unnamed.Header, "Id")
		for _, s := range []struct {
			request *forward.Request
			want    string
		}{{request("r1"), "200 yes"}, {unnamed, "declined 400"}, {request("r2"), "200 yes"}} {
			if got := outcome(pool.Send(context.Background(), target, s.request)); got != s.want {
				t.Errorf("request %q: %s, want %s", s.request.ID, got, s.want)
			}
		}
	})
}
