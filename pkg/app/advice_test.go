package app

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/platform"
)

// TestLeavingTargetGetsNoRequests guards against entries that learn of leaving targets from the target list alone. A
// target reported in each of its answers that it was leaving, while its row said that it was ready, since the store
// accepted no writes. An entry passed such an answer on, and twelve seconds later still sent the target requests. The
// fault was in the entry itself: it also occurs with a reachable store and with entries that get no heartbeats of one
// another, so that neither an older row nor another entry's assignments had overruled the report.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	const length = 9 * time.Second
	scenarios := []struct {
		name    string
		leaving int // of twelve
		fault   func(b *adviceBed)
	}{
		{"some", 4, nil},
		{"all but one", 11, nil},
		{"the store does not answer", 4, func(b *adviceBed) { b.setStoreDown(true) }},
		{"all entries are partitioned", 4, func(b *adviceBed) {
			for i := range b.entries {
				b.partition(i, true)
			}
		}},
		{"the owner of the service changes", 4, func(b *adviceBed) {
			for i := range b.entries {
				time.Sleep(2 * time.Second)
				b.killEntry(i)
				time.Sleep(500 * time.Millisecond)
				b.forgetAdviceOf(i)
				b.startEntry(i)
			}
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b := newAdviceBed(t)
				b.setLeaving(s.leaving)
				if s.fault != nil {
					go s.fault(b)
				}
				answers := b.callers(length)
				fraction := served(answers, time.Second, length)
				t.Logf("%d requests sent after the report of %d leaving targets, by %d pairs of entry and target; served %.3f", b.afterLeaving, s.leaving, len(b.pairs), fraction)
				b.check()
				// Each kill of an entry costs its callers half a second of the 8 s.
				minServed := 0.97
				if s.name == "the owner of the service changes" {
					minServed = 0.90
				}
				if fraction < minServed {
					t.Errorf("served %.3f, want %.2f", fraction, minServed)
				}
			})
		})
	}
}

// TestTargetBackoffIsRespected guards against entries that read from a rejection only that the request had not run, and
// not the back-off that the target asked for. Targets rejected requests with a back-off of three seconds. The entry
// that got the rejection sent them three or four more requests in that time, which ran elsewhere after one or two
// failed tries. Without the fix, a target that rejects all requests is mostly spared, by the count of its failures in a
// row; one that serves some requests in between, which resets that count, never is.
func TestTargetBackoffIsRespected(t *testing.T) {
	const length = 8 * time.Second
	faults := []struct {
		name  string
		fault func(b *adviceBed)
	}{
		{"", nil},
		{", the store does not answer", func(b *adviceBed) { b.setStoreDown(true) }},
		{", all entries are partitioned", func(b *adviceBed) {
			for i := range b.entries {
				b.partition(i, true)
			}
		}},
	}
	lengths := []time.Duration{time.Second, 3 * time.Second, 10 * time.Second}
	for _, fraction := range []float64{0.3, 1} {
		for _, h := range faults {
			// One test bed has targets with each of these back-offs beside targets that serve all requests.
			t.Run(fmt.Sprintf("6 of 12 reject %.0f in 10 with a back-off of %v%s", 10*fraction, lengths, h.name), func(t *testing.T) {
				t.Parallel()
				runBackoffScenario(t, length, h.fault, func(b *adviceBed) {
					for n := range 6 {
						b.rejectAt(n, rejection{fraction: fraction, backoff: lengths[n%len(lengths)]})
					}
				}, 0.97)
			})
			for _, backoff := range lengths {
				t.Run(fmt.Sprintf("12 of 12 reject %.0f in 10 with a back-off of %v%s", 10*fraction, backoff, h.name), func(t *testing.T) {
					t.Parallel()
					runBackoffScenario(t, length, h.fault, func(b *adviceBed) { b.rejectFirst(12, rejection{fraction: fraction, backoff: backoff}) }, 0)
				})
			}
		}
	}
}

// runBackoffScenario runs targets that reject requests, and checks that few requests reach them during the back-off and
// that at least the given fraction of requests is served. The scenarios in which all targets reject give 0.
func runBackoffScenario(t *testing.T, length time.Duration, fault, reject func(b *adviceBed), minServed float64) {
	synctest.Test(t, func(t *testing.T) {
		b := newAdviceBed(t)
		reject(b)
		if fault != nil {
			fault(b)
		}
		answers := b.callers(length)
		got := served(answers, 0, length)
		t.Logf("%d requests rejected, %d more than allowed during a back-off, by %d pairs of entry and target; served %.3f of %d", b.rejected, b.duringBackoff, len(b.pairs), got, len(answers))
		b.check()
		if got < minServed {
			t.Errorf("served %.3f", got)
		}
	})
}

// TestBackoffInAnswerOfTargetItself: a target's own 503, to a request that has run, may ask for a back-off as well.
func TestBackoffInAnswerOfTargetItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newAdviceBed(t)
		b.rejectFirst(6, rejection{fraction: 0.3, backoff: 3 * time.Second, unmarked: true})
		b.callers(10 * time.Second)
		b.check()
	})
}

// TestAllTargetsInBackoff: all targets reject all requests. Callers get 503 at once, with a Retry-After that is not
// before the end of the back-off and differs from caller to caller. Each back-off costs the targets a few requests, and
// they get requests again soon after its end.
func TestAllTargetsInBackoff(t *testing.T) {
	const (
		backoff = 3 * time.Second
		ends    = 6 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		b := newAdviceBed(t)
		b.rejectFirst(12, rejection{fraction: 1, backoff: backoff})
		answers := b.callers(ends)
		b.check()
		rejectedCalls := 0
		returns := make(map[time.Duration]int) // callers by the 50 ms in which they come back
		for _, a := range answers {
			if a.at < time.Second || a.at > 2*time.Second {
				continue
			}
			if a.status != http.StatusServiceUnavailable || a.took > 100*time.Millisecond {
				t.Fatalf("status %d after %v", a.status, a.took)
			}
			rejectedCalls++
			returns[(a.at+a.took+a.retryAfter).Truncate(50*time.Millisecond)]++
		}
		maxReturns := 0
		for _, n := range returns {
			maxReturns = max(maxReturns, n)
		}
		t.Logf("%d requests rejected by targets; of %d callers rejected in a second at most %d come back in the same 50 ms, in %d such spans", b.rejected, rejectedCalls, maxReturns, len(returns))
		// Each pair of 3 entries and 12 targets may be tried a few times in each of two back-offs.
		if b.rejected > 3*12*2*maxInBackoff {
			t.Errorf("%d requests reached targets that reject all", b.rejected)
		}
		if maxReturns > rejectedCalls/4 {
			t.Errorf("%d of %d callers come back within 50 ms", maxReturns, rejectedCalls)
		}
		b.rejectFirst(12, rejection{})
		time.Sleep(backoff)
		again := b.callers(b.now() + 2*time.Second)
		if fraction := served(again, b.now()-time.Second, b.now()); fraction < 0.97 {
			t.Errorf("served %.3f in the second second after the end", fraction)
		}
		if used := b.targetsUsedSince(b.now() - time.Second); used < 12 {
			t.Errorf("%d targets got requests in the second second after the end", used)
		}
	})
}

// TestReplacementOfLeavingTargetGetsRequests: a target reported that it was leaving, and ended; it starts again under
// its id, or another target starts at its address. The report of the former incarnation doesn't apply to these.
func TestReplacementOfLeavingTargetGetsRequests(t *testing.T) {
	for _, sameID := range []bool{false, true} {
		for _, unreachable := range []bool{false, true} {
			t.Run(fmt.Sprintf("same id %t, store unreachable before %t", sameID, unreachable), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					b := newAdviceBed(t)
					formerID := b.engines[0].id
					b.setLeaving(1)
					go b.callers(9 * time.Second)
					time.Sleep(time.Second)
					b.setStoreDown(unreachable)
					time.Sleep(2 * time.Second)
					b.adviceMu.Lock()
					delete(b.leaving, 0)
					b.adviceMu.Unlock()
					b.engines[0].end()
					nextID := formerID
					if !sameID {
						b.store.Remove(platform.TableTargets, formerID)
						nextID = "next"
					}
					time.Sleep(500 * time.Millisecond)
					b.startEngineAs(0, nextID)
					b.setStoreDown(false)
					b.adviceMu.Lock()
					b.passedOnAt = make(map[entryTarget]time.Duration) // of the former incarnation
					before := b.arrivals[nextID]
					b.adviceMu.Unlock()
					// An entry queries the store again within a second after an outage.
					time.Sleep(2 * time.Second)
					b.adviceMu.Lock()
					got := b.arrivals[nextID] - before
					b.adviceMu.Unlock()
					if got == 0 {
						t.Error("the replacement gets no request within 2 s")
					}
					time.Sleep(5 * time.Second)
				})
			})
		}
	}
}
