package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/network"
)

// framings are the ways in which a target marks the end of an answer.
var framings = []network.Framing{network.FramedByLength, network.FramedByChunks, network.FramedByClose}

// answerWith returns a script that sends a body with the given framing and ends it properly.
func answerWith(f network.Framing, contentType, body string) scriptedTarget {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: %s\r\n", r.Header.Get("Id"), contentType)
		switch f {
		case network.FramedByLength:
			_, _ = fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(body), body)
		case network.FramedByChunks:
			_, _ = io.WriteString(c, "Transfer-Encoding: chunked\r\n\r\n")
			if body != "" {
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(body), body)
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
		case network.FramedByClose:
			_, _ = io.WriteString(c, "\r\n"+body)
			return false
		}
		return true
	}
}

// streamUpTo returns a script that streams the events after the last one that the caller has, up to the one numbered
// whole, and then a part of the next one.
func streamUpTo(f network.Framing, whole int, part string) scriptedTarget {
	return func(c net.Conn, r *http.Request) bool {
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		return answerWith(f, "text/event-stream", strings.Join(events(whole)[last:], "")+part)(c, r)
	}
}

// TestAnswerThatEndsEarlyDoesNotLookComplete covers streams that end inside an event or before one.
func TestAnswerThatEndsEarlyDoesNotLookComplete(t *testing.T) {
	cuts := []struct {
		name  string
		whole int // events before the part
		part  string
	}{
		{"inside the first event", 0, "id: 1\nda"},
		{"inside an id", 9, "id: 1"},
		{"after an id line", 4, "id: 5\n"},
		{"before the empty line", 4, "id: 5\ndata: e5\n"},
		{"inside the last event", 9, "id: 10\ndata: e"},
		{"inside a line without a field name", 4, "i"},
	}
	for _, f := range framings {
		for _, cut := range cuts {
			for _, path := range []string{"/stream/a", "/resume/a"} {
				t.Run(fmt.Sprintf("%v, %s, %s", f, cut.name, path), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						b := newTestbed(t, fakeMeter{}, streamUpTo(f, cut.whole, cut.part))
						got := b.call(context.Background(), path, nil)
						checkNotComplete(t, got, strings.Join(events(cut.whole), ""))
						if want := []string{"t1 Failed"}; !slices.Equal(b.scheduler.outcomes, want) {
							t.Errorf("outcomes %v, want %v", b.scheduler.outcomes, want)
						}
					})
				})
			}
			t.Run(fmt.Sprintf("%v, %s, another target goes on", f, cut.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestbed(t, fakeMeter{}, streamUpTo(f, cut.whole, cut.part), streamUpTo(f, 10, ""))
					got := b.call(context.Background(), "/resume/a", nil)
					if want := completeAnswer(stepEvents, "/resume/a"); got.status != http.StatusOK || !got.complete || got.body != want {
						t.Errorf("status %d, complete %t, %q", got.status, got.complete, got.body)
					}
				})
			})
		}
	}
	for _, path := range []string{"/stream/a", "/resume/a"} {
		t.Run("closed before the first event, "+path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{}, streamUpTo(network.FramedByClose, 0, ""))
				checkNotComplete(t, b.call(context.Background(), path, nil), "")
			})
		})
	}
}

// checkNotComplete checks that a caller got no complete answer, and of an incomplete one no more than the given body.
func checkNotComplete(t *testing.T, got reply, body string) {
	t.Helper()
	switch {
	case got.status == http.StatusOK && got.complete:
		t.Errorf("looks complete: %q", got.body)
	case got.status == http.StatusOK && got.body != body:
		t.Errorf("body %q, want %q", got.body, body)
	}
}

// TestWholeAnswerStaysWholeUnderEachFraming guards against whole answers that are broken off.
func TestWholeAnswerStaysWholeUnderEachFraming(t *testing.T) {
	whole := strings.Join(events(10), "")
	bodies := []struct{ name, path, body string }{
		{"a stream", "/stream/a", whole},
		{"a stream that may go on", "/resume/a", whole},
		{"a comment at the end", "/stream/a", whole + ": end\n"},
		{"line ends of CR", "/stream/a", strings.ReplaceAll(whole, "\n", "\r")},
		{"line ends of CR LF", "/stream/a", strings.ReplaceAll(whole, "\n", "\r\n")},
		{"events without ids", "/stream/a", "data: a\n\ndata: b\n\n"},
		{"a byte order mark", "/stream/a", "\ufeff" + whole},
		{"a call's answer", "/unsafe/a", "yes"},
		{"an empty answer", "/unsafe/a", ""},
		{"a long answer", "/safe/a", strings.Repeat("a", longBody)},
	}
	for _, f := range framings {
		for _, c := range bodies {
			t.Run(fmt.Sprintf("%v, %s", f, c.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestbed(t, fakeMeter{}, answerWith(f, "text/event-stream", c.body))
					got := b.call(context.Background(), c.path, nil)
					if got.status != http.StatusOK || !got.complete || got.body != c.body {
						t.Errorf("status %d, complete %t, %d bytes of %d", got.status, got.complete, len(got.body), len(c.body))
					}
					if want := []string{"t1 Served"}; !slices.Equal(b.scheduler.outcomes, want) {
						t.Errorf("outcomes %v, want %v", b.scheduler.outcomes, want)
					}
				})
			})
		}
	}
}

// TestRestOfStreamMayBeEmpty guards against a stream that never ends for its caller, who has all of it already.
func TestRestOfStreamMayBeEmpty(t *testing.T) {
	for _, f := range framings {
		t.Run(f.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{}, streamUpTo(f, 10, ""))
				got := b.call(context.Background(), "/resume/a", map[string]string{"Last": "10"})
				if got.status != http.StatusOK || !got.complete || got.body != "" {
					t.Errorf("status %d, complete %t, %q", got.status, got.complete, got.body)
				}
			})
		})
	}
}

// TestTornEventOfSilentTargetIsNotRelayed guards against the part of an event of a target that another one replaces.
func TestTornEventOfSilentTargetIsNotRelayed(t *testing.T) {
	for _, f := range framings {
		t.Run(f.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tornLater := func(c net.Conn, r *http.Request) bool {
					whole := strings.Join(events(4), "")
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(whole)+4, whole)
					time.Sleep(1200 * time.Millisecond) // a search has begun
					_, _ = io.WriteString(c, "id: ")
					return false
				}
				b := newTestbed(t, fakeMeter{}, tornLater, streamUpTo(f, 10, ""))
				got := b.call(context.Background(), "/resume/a", nil)
				if want := strings.Join(events(10), ""); got.status != http.StatusOK || !got.complete || got.body != want {
					t.Errorf("status %d, complete %t, %q", got.status, got.complete, got.body)
				}
			})
		})
	}
}

// TestAnswerThatProcessEndClosesDoesNotLookComplete covers ends between two events and in a body.
func TestAnswerThatProcessEndClosesDoesNotLookComplete(t *testing.T) {
	part := strings.Join(events(4), "")
	bodies := []struct {
		name, path, body string
		again            string // what another target makes of it; empty if none may
	}{
		{"a stream", "/stream/a", part, ""},
		{"a stream that may go on", "/resume/a", part, strings.Join(events(10), "")},
		{"a call's answer", "/unsafe/a", "ye", ""},
		{"a call's answer, which may be repeated", "/safe/a", "ye", "yes"},
		{"a long answer", "/safe/a", strings.Repeat("a", longBody), ""},
	}
	for _, c := range bodies {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var b *testbed
				ends := func(conn net.Conn, r *http.Request) bool {
					_ = b.listeners[0].Close()
					return answerWith(network.FramedByClose, "text/event-stream", c.body)(conn, r)
				}
				goesOn := streamUpTo(network.FramedByChunks, 10, "")
				if c.path == "/safe/a" {
					goesOn = replies(http.StatusOK, "", "yes")
				}
				b = newTestbed(t, fakeMeter{}, ends, goesOn)
				got := b.call(context.Background(), c.path, nil)
				if c.again == "" {
					checkNotComplete(t, got, c.body)
				} else if !got.complete || got.body != c.again {
					t.Errorf("complete %t, %q, want %q", got.complete, got.body, c.again)
				}
			})
		})
	}
}

// TestPartOfStreamDoesNotLookWholeWhereAnotherProcessListens guards against a part of a stream that looks whole, as its
// target has ended and another process has taken the address.
func TestPartOfStreamDoesNotLookWholeWhereAnotherProcessListens(t *testing.T) {
	for _, path := range []string{"/stream/a", "/resume/a"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var b *testbed
				b = newTestbed(t, fakeMeter{}, func(c net.Conn, r *http.Request) bool {
					b.replace("t1", "next")
					return streamUpTo(network.FramedByClose, 4, "")(c, r)
				}, streamUpTo(network.FramedByChunks, 10, ""))
				got := b.call(context.Background(), path, nil)
				if path == "/stream/a" {
					checkNotComplete(t, got, strings.Join(events(4), ""))
				} else if want := strings.Join(events(10), ""); !got.complete || got.body != want {
					t.Errorf("complete %t, %q, want %q", got.complete, got.body, want)
				}
			})
		})
	}
}

// TestAnswerThatEndsEarlyKeepsItsLastBytes guards against the loss of what a target sent just before it broke off.
func TestAnswerThatEndsEarlyKeepsItsLastBytes(t *testing.T) {
	const (
		whole = 1 << 20 // read before any of it goes to the caller
		last  = 69
	)
	endsEarly := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), longBody)
		_, _ = io.WriteString(c, strings.Repeat("a", whole))
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(c, strings.Repeat("b", last))
		return false
	}
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, endsEarly)
		got := b.call(context.Background(), "/safe/a", nil)
		checkNotComplete(t, got, strings.Repeat("a", whole)+strings.Repeat("b", last))
	})
}
