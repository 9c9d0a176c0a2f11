package app

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// skew is where most new connections go.
type skew struct {
	entry int // the entry that gets skewFraction of them; -1 while all get the same
}

// skewFraction is the fraction of the new connections that one entry gets.
const skewFraction = 0.9

// TestMostNewConnectionsAtOneEntryAreServed guards against shares by entry that follow the former load.
func TestMostNewConnectionsAtOneEntryAreServed(t *testing.T) {
	const (
		usual  = 4 * time.Second // before the skew
		length = 20 * time.Second
		rate   = 120.0 // requests a second before the skew, and half as many again from then on
		aimed  = 0.75  // of the fraction that is served before, as the users ask
	)
	scenarios := []struct {
		name    string
		entries int
		hold    time.Duration // for how long one entry gets most
		crash   bool          // the entry is killed in the middle of its time, and comes back
		breaks  float64       // fraction of the answers that targets break off
	}{
		{"3 entries, 2 s each", 3, 2 * time.Second, false, 0},
		{"3 entries, 8 s each", 3, 8 * time.Second, false, 0},
		{"9 entries, 4 s each", 9, 4 * time.Second, false, 0},
		{"40 entries, 4 s each", 40, 4 * time.Second, false, 0},
		{"9 entries, which are killed", 9, 4 * time.Second, true, 0},
		{"9 entries, broken answers", 9, 4 * time.Second, false, 0.08},
		{"40 entries, broken answers", 40, 4 * time.Second, false, 0.08},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b := newCrashBed(t, 1, s.entries)
				b.setBreaks(s.breaks)
				at := skew{entry: -1}
				go func() {
					time.Sleep(usual - b.now())
					for n := 0; b.now() < length; n++ {
						at.set(b, n%s.entries)
						time.Sleep(s.hold / 2)
						if s.crash {
							b.killEntry(n % s.entries)
							at.set(b, (n+1)%s.entries) // the balancer takes it out
							time.Sleep(s.hold / 2)
							b.startEntry(n % s.entries)
							continue
						}
						time.Sleep(s.hold / 2)
					}
				}()
				call := func() {
					began, body := b.now(), b.uniqueBody()
					status, answer := b.call(at.draw(b), "/safe/q", "key-a", body)
					b.mu.Lock()
					defer b.mu.Unlock()
					b.backgroundCalls = append(b.backgroundCalls, backgroundCall{at: began, body: body, status: status, text: answer})
				}
				b.callAtRate(rate, 0, usual, call)
				b.callAtRate(rate*1.5, usual, length, call)
				before, during := b.servedOfRead(0, usual), b.servedOfRead(usual, length)
				t.Logf("served of the tries that were read: %.3f before, %.3f while most new connections go to one entry; %v", before, during, b.statuses(usual, length))
				if during < aimed*before {
					t.Errorf("served %.3f of the tries that were read, %.3f before", during, before)
				}
			})
		})
	}
}

// set has most new connections go to an entry from now on.
func (s *skew) set(b *crashBed, entry int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.entry = entry
}

// draw returns the entry of a new connection.
func (s *skew) draw(b *crashBed) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.entry >= 0 && b.random.Float64() < skewFraction {
		return s.entry
	}
	return b.random.IntN(len(b.entries))
}

// servedOfRead is the fraction of the background requests of a time span that were served, of those that an entry has
// read: it has answered, other than that the account has spent its limit.
func (b *crashBed) servedOfRead(from, until time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	served, read := 0, 0
	for _, c := range b.backgroundCalls {
		if c.at < from || c.at >= until || c.status == 0 || c.status == http.StatusTooManyRequests {
			continue
		}
		read++
		if c.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(1, read))
}

// statuses counts the background requests of a time span by status and reason.
func (b *crashBed) statuses(from, until time.Duration) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[string]int)
	for _, c := range b.backgroundCalls {
		switch {
		case c.at < from || c.at >= until:
		case c.status == http.StatusOK:
			counts["served"]++
		default:
			counts[fmt.Sprint(c.status, " ", strings.TrimSpace(c.text[:min(len(c.text), 12)]))]++
		}
	}
	return counts
}
