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

	"quaydock/pkg/routing"
)

// sendsEvents sends the given events, whatever it is told that the caller has, and ends the stream in good order.
func sendsEvents(list func(last string) []string) scriptedTarget {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for _, text := range list(r.Header.Get("Last")) {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// sendsIDs sends events with the given ids.
func sendsIDs(ids ...int) scriptedTarget {
	return sendsEvents(func(string) []string {
		var list []string
		for _, n := range ids {
			list = append(list, events(n)[n-1])
		}
		return list
	})
}

// sendsFrom sends the events from one to the tenth.
func sendsFrom(first int) scriptedTarget {
	return sendsEvents(func(string) []string { return events(10)[first-1:] })
}

// The tests below let one target leave a stream in the middle, and have another one go on that repeats events, goes back
// or leaves some out. They guard against answers that have an event twice, or lack one and look whole.

// streamLength is how many events with ids a stream of these tests has. An event without an id follows each.
const streamLength = 10

// numbered and unnumbered return the n-th event with an id, and the one that follows it, in a size that a paused caller
// has no room for.
func numbered(n int) string   { return fmt.Sprintf("id: %d\ndata: e%d %s\n\n", n, n, eventFill()) }
func unnumbered(n int) string { return fmt.Sprintf("data: u%d\n\n", n) }

// eventFill returns what makes events large.
func eventFill() string { return strings.Repeat("-", eventBytes) }

// part returns the events of a stream from one with an id to another, with what follows each.
func part(first, last int) []string {
	var list []string
	for n := first; n <= last; n++ {
		list = append(list, numbered(n), unnumbered(n))
	}
	return list
}

// sendsThen sends a part of a stream, and then does something else.
func sendsThen(list []string, then scriptedTarget) scriptedTarget {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for _, text := range list {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
				return false
			}
		}
		time.Sleep(50 * time.Millisecond)
		return then(c, r)
	}
}

// soundTarget goes on behind the event that it is told, to the end.
func soundTarget() scriptedTarget {
	return sendsEvents(func(last string) []string {
		n, _ := strconv.Atoi(last)
		return append([]string{unnumbered(n)}[:min(n, 1)], part(n+1, streamLength)...)
	})
}

// wayOfGoingOn is how another target comes to go on with a stream of which the caller has four events with ids, and the
// unnumbered one behind the last of them unless it is to come yet.
type wayOfGoingOn struct {
	name  string
	first scriptedTarget
	later bool          // the caller comes back by itself, so that the entry has no event of this answer
	pause time.Duration // of the caller, before it reads
}

// waysOfGoingOn lists all ways.
func waysOfGoingOn() []wayOfGoingOn {
	four := part(1, 4)
	return []wayOfGoingOn{
		{name: "its target breaks off", first: sendsThen(four, closesUnanswered)},
		{name: "its target breaks off before an event without an id", first: sendsThen(four[:7], closesUnanswered)},
		{name: "its target is silent", first: sendsThen(four, silent)},
		{name: "its target breaks off while the caller pauses", first: sendsThen(four, closesUnanswered), pause: time.Second},
		{name: "its caller comes back", first: sendsThen(four[:7], closesUnanswered), later: true},
	}
}

// misbehaviour is what a target sends that is to go on behind the fourth event with an id.
type misbehaviour struct {
	name  string
	sends []string
	// whole says that the caller can get the whole stream from it; what is sent otherwise must not look whole.
	whole bool
	// unseen says that a caller's later try can't tell.
	unseen bool
}

// misbehaviours lists what targets send that go on.
func misbehaviours() []misbehaviour {
	behind := []string{unnumbered(4)}
	rest := append(behind, part(5, streamLength)...)
	return []misbehaviour{
		{name: "nothing wrong", sends: rest, whole: true},
		{name: "it repeats the last event", sends: part(4, streamLength), whole: true},
		{name: "it repeats some, and the unnumbered ones between them", sends: part(3, streamLength), whole: true},
		{name: "it begins anew", sends: part(1, streamLength), whole: true},
		{name: "it repeats, and then goes back among the repeated", sends: append(part(2, 4), part(3, streamLength)...), whole: true},
		{name: "it goes back after new events", sends: slices.Concat(behind, part(5, 6), part(3, streamLength))},
		{name: "it repeats its own last event", sends: slices.Concat(behind, part(5, 6), part(6, streamLength))},
		{name: "it leaves the next event out", sends: slices.Concat(behind, part(6, streamLength)), unseen: true},
		{name: "it repeats, and leaves the next event out", sends: slices.Concat(part(3, 4), part(6, streamLength)), unseen: true},
		{name: "it ends before what the caller has", sends: part(1, 3)},
	}
}

// TestEventsComeOnceAndInOrderWhereStreamGoesOn combines the ways of going on with the misbehaviours.
func TestEventsComeOnceAndInOrderWhereStreamGoesOn(t *testing.T) {
	whole := strings.Join(part(1, streamLength), "")
	for _, way := range waysOfGoingOn() {
		for _, m := range misbehaviours() {
			if way.later && m.unseen {
				continue // TestCallersLaterTryMaySkip
			}
			for _, rescued := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, a third target %t", way.name, m.name, rescued), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						second := versioned{"v", sendsEvents(func(string) []string { return m.sends })}
						targets := []versioned{{"v", way.first}, second}
						if rescued {
							targets = append(targets, versioned{"v", soundTarget()})
						}
						b := newVersionedTestbed(t, targets...)
						got, complete := b.goOn(way)
						if !strings.HasPrefix(whole, got) || complete && got != whole {
							t.Errorf("complete %t, the events are %s", complete, shortened(got))
						}
						if complete != (m.whole || rescued) {
							t.Errorf("complete %t, %d bytes of %d", complete, len(got), len(whole))
						}
					})
				})
			}
		}
	}
}

// goOn has a caller take a stream that goes on in a way, and returns all that it got, and whether the end was whole.
func (b *testbed) goOn(way wayOfGoingOn) (text string, complete bool) {
	if !way.later {
		got := b.callAndPause("/resume/a", way.pause, nil)
		return got.body, got.complete
	}
	b.leave(func(i int) bool { return i > 0 })
	first := b.call(context.Background(), "/resume/a", map[string]string{"Id": "first"})
	b.leave(func(i int) bool { return i == 0 })
	got := b.call(context.Background(), "/resume/a", map[string]string{"Id": "second", "Last": "4", "Resumes": "first"})
	return first.body + got.body, got.complete
}

// leave has the targets with some indices leave, and no other.
func (b *testbed) leave(leaves func(i int) bool) {
	b.mu.Lock()
	for i, t := range b.targets {
		changed := *t
		changed.Leaving = leaves(i)
		b.targets[i] = &changed
	}
	b.mu.Unlock()
	b.view.SetDirectory(routing.NewDirectory(b.listed()))
}

// shortened returns events without what fills them.
func shortened(text string) string {
	return strings.NewReplacer(eventFill(), "", "\n\n", ";", "\n", " ").Replace(text)
}

// TestSoundStreamsGoOn guards against streams that are broken off though their ids only rise, or are no numbers.
func TestSoundStreamsGoOn(t *testing.T) {
	scenarios := []struct {
		name string
		ids  []string
	}{
		{"ids that rise by ten", []string{"10", "20", "30", "40", "50", "60"}},
		{"ids that rise unevenly", []string{"1", "2", "4", "9", "10", "11"}},
		{"ids below 0", []string{"-3", "-2", "-1", "0", "1", "2"}},
		{"the last ids there are", []string{"9223372036854775802", "9223372036854775803", "9223372036854775804", "9223372036854775805", "9223372036854775806", "9223372036854775807"}},
		{"ids beyond the last", []string{"9223372036854775806", "9223372036854775807", "9223372036854775808", "9223372036854775809", "9223372036854775810", "9223372036854775811"}},
		{"ids that are no numbers", []string{"a1", "a2", "a3", "a4", "a5", "a6"}},
		{"no ids", []string{"", "", "", "", "", ""}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var list []string
				for n, id := range s.ids {
					text := fmt.Sprintf("id: %s\ndata: e%d\n\n", id, n)
					list = append(list, strings.TrimPrefix(text, "id: \n"))
				}
				goesOn := sendsEvents(func(last string) []string { return list[slices.Index(s.ids, last)+1:] })
				if s.ids[0] == "" {
					goesOn = sendsEvents(func(string) []string { return list })
				}
				b := newTestbed(t, fakeMeter{}, sendsThen(list[:3], closesUnanswered), goesOn)
				got := b.call(context.Background(), "/resume/a", nil)
				if want := strings.Join(list, ""); !got.complete || got.body != want {
					t.Errorf("complete %t, body %q, want %q", got.complete, got.body, want)
				}
			})
		})
	}
}

// TestCallersLaterTryMaySkip guards against refusing a caller a stream whose ids only rise: the entry has seen none of
// them.
func TestCallersLaterTryMaySkip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		way := waysOfGoingOn()[4]
		b := newVersionedTestbed(t, versioned{"v", way.first}, versioned{"v", sendsEvents(func(string) []string { return part(6, streamLength) })})
		if got, complete := b.goOn(way); !complete || !strings.HasSuffix(got, strings.Join(part(6, streamLength), "")) {
			t.Errorf("complete %t, %s", complete, shortened(got))
		}
	})
}

// TestSilentTargetIsKeptFromOneThatSkips guards against a takeover by a target that does not go on behind the last event,
// while the first one would go on.
func TestSilentTargetIsKeptFromOneThatSkips(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, fakeMeter{}, pausesMidStream(1500*time.Millisecond), sendsFrom(6))
		got := b.call(context.Background(), "/resume/a", nil)
		if !got.complete || got.body != strings.Join(events(10), "") || len(b.arrived()) != 2 {
			t.Errorf("complete %t, body %q, %d arrivals", got.complete, got.body, len(b.arrived()))
		}
	})
}

// TestStreamOutOfOrderIsBrokenOff guards against an event that is dropped as its id goes back, in an answer that looks
// whole.
func TestStreamOutOfOrderIsBrokenOff(t *testing.T) {
	for _, path := range []string{"/stream/a", "/resume/a"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{}, sendsIDs(1, 2, 3, 2, 3, 4))
				got := b.call(context.Background(), path, nil)
				if got.complete || got.body != strings.Join(events(3), "") {
					t.Errorf("complete %t, body %q", got.complete, got.body)
				}
				if b.scheduler.outcomes[0] != "t1 Failed" {
					t.Errorf("outcome %s", b.scheduler.outcomes[0])
				}
			})
		})
	}
}

// TestIDOfOtherRouteLeavesNothingOut guards against events that are left out for an id that means nothing, as the route's
// streams can't be taken up again.
func TestIDOfOtherRouteLeavesNothingOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newVersionedTestbed(t, versioned{"v", streams(5)}, versioned{"v", sendsFrom(1)})
		b.leave(func(i int) bool { return i > 0 })
		b.call(context.Background(), "/resume/a", map[string]string{"Id": "first"})
		b.leave(func(i int) bool { return i == 0 })
		b.updateRoute("resume", func(r *routing.Route) { r.Resumable = false })
		b.configure(3)
		got := b.call(context.Background(), "/resume/a", map[string]string{"Last": "4", "Resumes": "first"})
		if !got.complete || got.body != strings.Join(events(10), "") {
			t.Errorf("status %d, complete %t, body %q", got.status, got.complete, got.body)
		}
	})
}
