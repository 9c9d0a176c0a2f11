package ingress_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestRepeatsAndDisorderAreLogged guards against events that are dropped, or out of order, without a line that says so.
func TestRepeatsAndDisorderAreLogged(t *testing.T) {
	const repeated, disorder = "a target repeated events that its caller had", "a target's events are out of order"
	type fields map[string]any
	scenarios := []struct {
		name    string
		targets []scriptedTarget
		lines   map[string]fields // by message; there is one line of each, and no other of these two
		counter string
	}{
		{"a sound stream that goes on", []scriptedTarget{streams(5), streams(0)}, nil, ""},
		{"an empty rest", []scriptedTarget{streams(5), sendsIDs()}, nil, ""},
		{"repeats", []scriptedTarget{streams(5), sendsFrom(3)}, map[string]fields{
			repeated: {"target": "t2", "events": 2, "first_event": int64(3), "after_event": "4"},
		}, `quaydock_streams_with_repeats_total{after="break"} 1`},
		{"goes back", []scriptedTarget{sendsIDs(1, 2, 3, 2), streams(0)}, map[string]fields{
			disorder: {"target": "t1", "last_event": int64(3), "event": int64(2), "step": "Back"},
		}, `quaydock_streams_out_of_order_total{event="Back"} 1`},
		{"skips", []scriptedTarget{streams(5), sendsFrom(6)}, map[string]fields{
			disorder: {"target": "t2", "last_event": int64(4), "event": int64(6), "step": "Skips"},
		}, `quaydock_streams_out_of_order_total{event="Skips"} 1`},
		{"repeats some, and ends before the last", []scriptedTarget{streams(5), sendsIDs(1, 2)}, map[string]fields{
			repeated: {"target": "t2", "events": 2, "first_event": int64(1), "after_event": "4"},
			disorder: {"target": "t2", "last_event": int64(4), "event": int64(2), "step": "EndsBefore"},
		}, `quaydock_streams_out_of_order_total{event="EndsBefore"} 1`},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, fakeMeter{}, s.targets...)
				b.call(context.Background(), "/resume/a", nil)
				synctest.Wait()
				lines := 0
				for _, line := range b.logs.AllEntries() {
					if line.Message != repeated && line.Message != disorder {
						continue
					}
					lines++
					if s.lines[line.Message] == nil || line.Data["request"] != "r1" {
						t.Errorf("line %q of request %v", line.Message, line.Data["request"])
					}
					for name, want := range s.lines[line.Message] {
						if line.Data[name] != want {
							t.Errorf("%s is %v, want %v", name, line.Data[name], want)
						}
					}
				}
				if lines != len(s.lines) {
					t.Errorf("%d lines", lines)
				}
				page := httptest.NewRecorder()
				b.metrics.Prometheus.ServeHTTP(page, nil)
				if !strings.Contains(page.Body.String(), s.counter) {
					t.Errorf("no counter %q", s.counter)
				}
			})
		})
	}
}

// TestEachStreamOfBurstThatGoesOnIsLoggedOrSummed guards against bursts of which the lines beyond the limit are lost.
func TestEachStreamOfBurstThatGoesOnIsLoggedOrSummed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const burst = 70
		b := newVersionedTestbed(t, versioned{"v1", streams(5)}, versioned{"v1", streams(0)})
		var calls sync.WaitGroup
		for range burst {
			calls.Go(func() { b.call(context.Background(), "/resume/a", nil) })
		}
		calls.Wait()
		time.Sleep(2 * time.Second)
		lines, summed := 0, 0
		for _, line := range b.logs.AllEntries() {
			switch line.Message {
			case "a stream goes on":
				lines++
			case "streams that went on in a second without lines of their own":
				summed += line.Data["streams"].(int)
				if line.Data["service"] != "s" || line.Data["began_version"] != "v1" || line.Data["version"] != "v1" || line.Data["after"] != "break" {
					t.Errorf("summed as %v", line.Data)
				}
			}
		}
		if lines+summed != burst || summed == 0 {
			t.Errorf("%d lines and %d summed, of %d streams", lines, summed, burst)
		}
	})
}
