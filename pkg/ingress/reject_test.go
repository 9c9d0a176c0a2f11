package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/commontest"
	"quaydock/pkg/descriptors"
	"quaydock/pkg/ingress"
)

// reject makes a request on a connection beyond the callers' limit.
func (b *testbed) reject(path string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader("question"))
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "key")
	w := httptest.NewRecorder()
	b.controller.Reject(w, r)
	return w
}

// Callers beyond the connection limit were all rejected, also those of the highest tier, while long requests of the
// lowest tier were served on the connections within it: a request of the highest tier got a 503 while one of the lowest
// was in progress.
func TestHigherTierIsNotRejectedWhileLowerIsServed(t *testing.T) {
	const high, low = "/unsafe/a", "/safe/a"
	scenarios := []struct {
		name    string
		running string // the request in progress on a connection within the limit
		beyond  int    // how many requests are served beyond the limit already
		path    string
		status  int
	}{
		{"nothing in progress", "", 0, high, http.StatusServiceUnavailable},
		{"lower tier in progress", low, 0, high, http.StatusOK},
		{"same tier in progress", low, 0, low, http.StatusServiceUnavailable},
		{"higher tier in progress", high, 0, low, http.StatusServiceUnavailable},
		{"lower tier in progress, but no free slot", low, extraRequests, high, http.StatusServiceUnavailable},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{}, func(c net.Conn, r *http.Request) bool {
					time.Sleep(time.Second)
					return replies(200, "", "yes")(c, r)
				})
				b.routes[1].Tier = 2 // the route of low
				b.configure(2)
				if s.running != "" {
					go func() { b.call(context.Background(), s.running, nil) }()
				}
				time.Sleep(10 * time.Millisecond)
				for range s.beyond {
					go b.reject(high)
				}
				time.Sleep(10 * time.Millisecond)
				w := b.reject(s.path)
				if w.Code != s.status {
					t.Errorf("status %d, want %d", w.Code, s.status)
				}
				if hasRetryAfter := w.Header().Get("Retry-After") != ""; hasRetryAfter != (s.status != http.StatusOK) {
					t.Errorf("answer has Retry-After: %t", hasRetryAfter)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// A request of a higher tier that is served beyond the limit takes three times as long as a rejected caller has. It
// must get its complete answer: the server of rejected callers has deadlines that would break it off.
func TestRequestServedBeyondLimitIsNotBrokenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, func(c net.Conn, r *http.Request) bool {
			time.Sleep(3 * time.Second)
			return replies(200, "", "yes")(c, r)
		})
		b.routes[1].Tier = 2
		b.configure(2)
		handlers := ingress.Handlers{Serve: b.controller, Reject: http.HandlerFunc(b.controller.Reject), Context: b.controller.Context()}
		server := ingress.NewServer(commontest.New(b.network), handlers, descriptors.Limits{Callers: 1, Rejecting: 2, Extra: 1})
		listener, err := b.network.Listen(serverAt)
		if err != nil {
			t.Fatal(err)
		}
		go server.Serve(listener)
		synctest.Wait()
		answers := make(chan int, 2)
		for _, path := range []string{"/safe/a", "/unsafe/a"} {
			c := dial(t, b.network)
			go func() { answers <- sendRequestTo(c, path) }()
			time.Sleep(10 * time.Millisecond)
		}
		for range 2 {
			if got := <-answers; got != http.StatusOK {
				t.Errorf("status %d", got)
			}
		}
		if err := server.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
	})
}

// sendRequestTo sends a request for a path, without a body, and returns the answer's status, or 0.
func sendRequestTo(c net.Conn, path string) int {
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: key\r\n\r\n")
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close() // only the status matters
	return response.StatusCode
}
