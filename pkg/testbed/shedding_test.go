package testbed_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/settings"
	"quaydock/pkg/testbed"
)

// served is one request: its answer, the time of its end, and when its engine generated its first token.
type served struct {
	answer testbed.Answer
	tier   int       // its rank
	first  time.Time // zero if there is none
	end    time.Time // when the caller had the whole answer or refusal
}

// TestNoRequestIsShedBeforeLowerTier overloads several entries and engines with all tiers at once. At the
// moment at which a request is shed, no engine serves a lower tier.
func TestNoRequestIsShedBeforeLowerTier(t *testing.T) {
	tiers := []string{"pilot", "notice", "summary", "tag"}
	shed := 0
	for seed := uint64(1); seed <= 6; seed++ {
		synctest.Test(t, func(t *testing.T) {
			bed := startTestbed(t, testbed.Options{Entries: 3, Engines: engines(3), Slots: 2, Seed: seed, Adjust: func(s *settings.Settings) {
				for i := range s.Agents {
					s.Agents[i].QueueMinTokens = 150 // short queues, so that requests are shed
					s.Agents[i].QueueTimeMS = 100
				}
			}})
			callers := newCallers(t, bed)
			random := rand.New(rand.NewPCG(seed, 4))
			all := make([]served, 240)
			delays := make([]time.Duration, len(all))
			tokens := make([]int, len(all))
			for i := range all {
				delays[i] = time.Duration(random.Int64N(int64(4 * time.Second)))
				tokens[i] = 5 + random.IntN(120)
				all[i].tier = random.IntN(len(tiers))
			}
			parallel(len(all), func(i int) testbed.Answer {
				time.Sleep(delays[i])
				header := http.Header{"Quaydock-Tier": {tiers[all[i].tier]}}
				all[i].answer = callers[i%len(callers)].Chat(context.Background(), fmt.Sprint("request ", i), tokens[i], false, header)
				all[i].end = time.Now()
				all[i].first = firstToken(bed, all[i].answer.Request)
				return all[i].answer
			})
			shed += checkShedding(t, bed, all)
		})
	}
	if shed == 0 {
		t.Error("no request above the lowest tier was shed: the test checks nothing")
	}
	t.Logf("%d requests above the lowest tier were shed", shed)
}

// firstToken returns when an engine generated the first token of a request, or the zero time.
func firstToken(bed *testbed.Bed, request string) time.Time {
	for _, e := range bed.Engines {
		if at, found := e.FirstToken(request); found {
			return at
		}
	}
	return time.Time{}
}

// checkShedding checks the invariants, and that no request of a lower tier was being served at the moment at which a
// request was shed. It returns the number of shed requests above the lowest tier, whose rank is 3.
func checkShedding(t *testing.T, bed *testbed.Bed, all []served) int {
	t.Helper()
	shed := 0
	for _, refused := range all {
		checkInvariants(t, bed, refused.answer)
		if refused.answer.Code != "overloaded" {
			continue
		}
		if refused.tier < 3 {
			shed++
		}
		for _, other := range all {
			running := !other.first.IsZero() && other.first.Before(refused.end) && other.end.After(refused.end)
			if running && other.tier > refused.tier {
				t.Errorf("tier %d was shed at %v while tier %d was served from %v to %v",
					refused.tier, refused.end, other.tier, other.first, other.end)
			}
		}
	}
	return shed
}
