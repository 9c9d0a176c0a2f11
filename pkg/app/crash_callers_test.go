package app

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"quaydock/pkg/ids"
	"quaydock/platform/wiretest"
)

// call sends one request to an entry, on a new connection.
func (b *crashBed) call(entry int, path, key, body string) (status int, text string) {
	status, _, text = b.send(entry, b.newRequestID(), path, key, body)
	return status, text
}

// newRequestID draws a request id.
func (b *crashBed) newRequestID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%016x", b.random.Uint64())
}

// send is call with a given request id; it also returns the answer's header. Without a complete answer within 3 s the
// status is 0.
func (b *crashBed) send(entry int, id, path, key, body string) (status int, head http.Header, text string) {
	return b.sendWith(entry, id, path, key, body, nil)
}

// sendWith is send for a prompt of the given parts, none if it is not declared to have any.
func (b *crashBed) sendWith(entry int, id, path, key, body string, parts []ids.PromptPart) (status int, head http.Header, text string) {
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return b.net.Dial(ctx, entryIP(entry)+":80")
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, strings.NewReader(body))
	if err != nil {
		b.t.Error(err)
		return 0, nil, ""
	}
	wiretest.SetCall(r.Header, id, key, 3*time.Second)
	if parts != nil {
		wiretest.SetPromptParts(r.Header, parts...)
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, nil, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, ""
	}
	return response.StatusCode, response.Header, string(answer)
}

// draw returns a random number below n.
func (b *crashBed) draw(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.IntN(n)
}

// callAtRate calls do at a mean rate from one time to another, at exponential intervals, and waits for all calls to
// return.
func (b *crashBed) callAtRate(perSecond float64, from, until time.Duration, do func()) {
	time.Sleep(from - b.now())
	var all sync.WaitGroup
	for b.now() < until {
		b.mu.Lock()
		pause := b.random.ExpFloat64() / perSecond
		b.mu.Unlock()
		time.Sleep(time.Duration(pause * float64(time.Second)))
		all.Go(do)
	}
	all.Wait()
}

// backgroundCallers sends ordinary requests of one client account, with the bodies that body returns, and records their
// results.
func (b *crashBed) backgroundCallers(perSecond float64, until time.Duration, body func() string) {
	b.callAtRate(perSecond, 0, until, func() {
		at, text := b.now(), body()
		status, answer := b.call(b.draw(len(b.entries)), "/safe/q", "key-a", text)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.backgroundCalls = append(b.backgroundCalls, backgroundCall{at: at, body: text, status: status, text: answer})
	})
}

// uniqueBody returns a new body on each call.
func (b *crashBed) uniqueBody() string { return fmt.Sprintf("usual-%d", b.draw(1<<40)) }

// sendRepeatedly sends the same body at a given rate.
func (b *crashBed) sendRepeatedly(path, body string, perSecond float64, from, until time.Duration) {
	b.callAtRate(perSecond, from, until, func() { b.call(b.draw(len(b.entries)), path, "key-a", body) })
}

// servedFraction is the fraction of the background requests of a time span that were served.
func (b *crashBed) servedFraction(from, until time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	served, all := 0, 0
	for _, c := range b.backgroundCalls {
		if c.at < from || c.at >= until {
			continue
		}
		all++
		if c.status == http.StatusOK && c.text == "answer to "+c.body {
			served++
		}
	}
	return float64(served) / float64(max(1, all))
}

// ended returns how many targets have ended under a body, and how many of its attempts reached targets later than
// propagationTime after the third end.
func (b *crashBed) ended(body string) (ended, late int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ends := b.ends[body]
	if len(ends) < 3 {
		return len(ends), 0
	}
	for _, at := range b.reached[body] {
		if at > ends[2]+propagationTime {
			late++
		}
	}
	return len(ends), late
}

// runsBeforeFirstEnd returns how many runs of a body had reached targets by the time the first of these ended.
func (b *crashBed) runsBeforeFirstEnd(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, at := range b.reached[body] {
		if len(b.ends[body]) > 0 && at <= b.ends[body][0] {
			count++
		}
	}
	return count
}
