package app

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/platform"
	"quaydock/platform/storetest"
)

// spareTargets is how many targets more than those of a streamBed there can be.
const spareTargets = 4

// killScenario is a way in which a second version comes and goes before all entries are killed.
type killScenario struct {
	name string
	// start is a fault of the store's calls in the first two seconds; nil for none.
	start func() func(*http.Request) storetest.Fault
	play  func(b *streamBed)
}

// isWrite reports whether a call of the store is a write.
func isWrite(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "-tx") }

// eachFirstLate returns a fault by which the first write of each content is done late, after its connection was closed.
func eachFirstLate(late time.Duration) func(*http.Request) storetest.Fault {
	seen := make(map[string]bool)
	return func(r *http.Request) storetest.Fault {
		if !isWrite(r) {
			return storetest.Fault{}
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return storetest.Fault{}
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if seen[string(body)] {
			return storetest.Fault{}
		}
		seen[string(body)] = true
		return storetest.Fault{Late: late}
	}
}

// comeAndGo has two targets of another version come and go. They serve on when their rows are gone, as targets that leave.
func (b *streamBed) comeAndGo(stay time.Duration) {
	b.setVersion("v2")
	for n := streamTargets; n < streamTargets+spareTargets; n++ {
		b.startEngine(n)
	}
	time.Sleep(stay)
	for n := streamTargets; n < streamTargets+spareTargets; n++ {
		b.store.Remove(platform.TableTargets, b.engine(n).id)
	}
	b.setVersion("v1")
	time.Sleep(50 * time.Millisecond)
}

// streamKills are the ways. They are played 5 s after the start.
var streamKills = []killScenario{
	{"while the store refuses writes", nil, func(b *streamBed) {
		b.store.InjectFaults(func(r *http.Request) storetest.Fault {
			if isWrite(r) {
				return storetest.Fault{Status: http.StatusServiceUnavailable}
			}
			return storetest.Fault{}
		})
		b.comeAndGo(1500 * time.Millisecond)
		b.restartAll()
		b.store.InjectFaults(nil)
	}},
	{"while the store does the first writes late", func() func(*http.Request) storetest.Fault { return eachFirstLate(8500 * time.Millisecond) }, func(b *streamBed) {
		b.comeAndGo(2 * time.Second)
		b.restartAll()
	}},
	{"and the store returns from a copy of before", nil, func(b *streamBed) {
		b.store.Copy()
		b.comeAndGo(1500 * time.Millisecond)
		go b.store.ReturnFromCopyAfter(100 * time.Millisecond)
		b.restartAll()
		b.store.RewriteLost(platform.TableOperators, platform.TableTargets)
	}},
}

// TestStreamsAreNotJoinedAfterAllEntriesAreKilled guards against streams that go on at another version after a kill of all
// entries, as the store's last word is older than they are.
func TestStreamsAreNotJoinedAfterAllEntriesAreKilled(t *testing.T) {
	for _, s := range streamKills {
		for _, entries := range []int{3, 9} {
			t.Run(fmt.Sprintf("%s, %d entries", s.name, entries), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var fault func(*http.Request) storetest.Fault
					if s.start != nil {
						fault = s.start()
					}
					b := newStreamBedWith(t, 1, entries, true, fault)
					done := make(chan struct{})
					go func() {
						defer close(done)
						time.Sleep(5 * time.Second) // until what is written at the start is done
						s.play(b)
					}()
					b.runCallers(streamsUntil + 5*time.Second)
					<-done
					b.checkStreams(streamScenario{knownLost: true})
				})
			})
		}
	}
}
