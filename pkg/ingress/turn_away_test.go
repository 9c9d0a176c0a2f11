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

// turnAway has a request on a connection beyond callers' share.
func (b *bed) turnAway(path string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader("question"))
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "key")
	w := httptest.NewRecorder()
	b.controller.Reject(w, r)
	return w
}

// TestNoHigherTierIsTurnedAwayWhileALowerOneIsServed: callers beyond their share of the
// descriptors were all told to come back, also those of the highest tier, while long work of
// the lowest was served on the connections within the share. The evidence is the answer to a request of
// the highest tier beside one of the lowest that is under way: 503.
func TestNoHigherTierIsTurnedAwayWhileALowerOneIsServed(t *testing.T) {
	const high, low = "/unsafe/a", "/safe/a"
	scenarios := []struct {
		name    string
		running string // what is under way on a connection within the share
		beside  int    // how many more were taken before, beyond the share
		path    string
		status  int
	}{
		{"nothing is under way", "", 0, high, http.StatusServiceUnavailable},
		{"lower work is under way", low, 0, high, http.StatusOK},
		{"work of the same tier is under way", low, 0, low, http.StatusServiceUnavailable},
		{"higher work is under way", high, 0, low, http.StatusServiceUnavailable},
		{"lower work is under way, and all places for such are taken", low, places, high, http.StatusServiceUnavailable},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t, freely{}, func(c net.Conn, r *http.Request) bool {
					time.Sleep(time.Second)
					return says(200, "", "yes")(c, r)
				})
				b.routes[1].Tier = 2
				b.configure(2)
				if s.running != "" {
					go func() { b.call(context.Background(), s.running, nil) }()
				}
				time.Sleep(10 * time.Millisecond)
				for range s.beside {
					go b.turnAway(high)
				}
				time.Sleep(10 * time.Millisecond)
				w := b.turnAway(s.path)
				if w.Code != s.status {
					t.Errorf("status %d, want %d", w.Code, s.status)
				}
				if told := w.Header().Get("Retry-After") != ""; told != (s.status != http.StatusOK) {
					t.Errorf("told when to come back: %t", told)
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestOneServedBeyondTheShareHasItsTime has a request of a higher tier take three times as long as a
// caller who is turned away may.
func TestOneServedBeyondTheShareHasItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, freely{}, func(c net.Conn, r *http.Request) bool {
			time.Sleep(3 * time.Second)
			return says(200, "", "yes")(c, r)
		})
		b.routes[1].Tier = 2
		b.configure(2)
		handlers := ingress.Handlers{Serve: b.controller, Reject: http.HandlerFunc(b.controller.Reject), Context: b.controller.Context()}
		server := ingress.NewServer(commontest.New(b.reach), handlers, descriptors.Limits{Callers: 1, Rejecting: 2, Extra: 1})
		listener, err := b.reach.Listen(serverAt)
		if err != nil {
			t.Fatal(err)
		}
		go server.Serve(listener)
		synctest.Wait()
		answers := make(chan int, 2)
		for _, path := range []string{"/safe/a", "/unsafe/a"} {
			c := dial(t, b.reach)
			go func() { answers <- askFor(c, path) }()
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

// askFor sends a request without a body, and returns the status of its answer, or 0.
func askFor(c net.Conn, path string) int {
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: key\r\n\r\n")
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close() // what matters has been read
	return response.StatusCode
}
