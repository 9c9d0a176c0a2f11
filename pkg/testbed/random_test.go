package testbed_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/network"
	"quaydock/pkg/settings"
	"quaydock/pkg/testbed"
)

var seeds = flag.Uint64("seeds", 25, "number of random histories to run")

// TestRandomHistories sends requests while connections break, messages are delayed,
// engines slow down and break their streams, and agents end and are
// replaced, all at random from a seed. Each request must get a true outcome,
// and afterwards the system must serve again.
func TestRandomHistories(t *testing.T) {
	endings := make(map[testbed.Ending]int)
	for seed := uint64(1); seed <= *seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			h := &randomHistory{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 2))}
			for ending, n := range h.run() {
				endings[ending] += n
			}
			if t.Failed() {
				t.Logf("seed %d", seed)
			}
		})
	}
	t.Logf("%d histories: %v", *seeds, endings)
}

// randomHistory is one run of TestRandomHistories.
type randomHistory struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand // draws the faults and the requests; injectFailures has a generator of its own
	bed    *testbed.Bed
}

const (
	randomEngines = 3
	randomEntries = 2
	historyLength = 20 * time.Second // within which requests are sent and failures begin
)

// run returns the number of requests by how they ended. A request sent a minute after all faults ended must be
// complete.
func (h *randomHistory) run() map[testbed.Ending]int {
	faults := network.NewFaults(h.faults()...)
	h.bed = startTestbed(h.t, testbed.Options{
		Entries: randomEntries, Engines: engines(randomEngines), Slots: 2, Seed: h.seed,
		Faults: faults,
		Adjust: func(s *settings.Settings) {
			for i := range s.Agents {
				s.Agents[i].QueueMinTokens = 200 // short queues, so that requests are shed
				s.Agents[i].QueueTimeMS = 100
			}
		},
	})
	var failures sync.WaitGroup
	failures.Go(h.injectFailures)
	answers := h.burst(60)
	failures.Wait()
	faults.Clear()
	time.Sleep(time.Minute)
	endings := checkAnswers(h.t, h.bed, answers)
	after := newCaller(h.t, h.bed).Chat(context.Background(), "after", 3, true, nil)
	checkInvariants(h.t, h.bed, after)
	if after.Ending != testbed.Complete {
		h.t.Errorf("seed %d: a later request ended %v: %s", h.seed, after.Ending, after.Body)
	}
	return endings
}

// faults draws 12 messages, on any link to an agent or target, at which the connection breaks or which are delayed by
// up to 20 s.
func (h *randomHistory) faults() []network.Fault {
	var addresses []string
	for i := range randomEngines {
		addresses = append(addresses, testbed.ControlAddress(i), testbed.DataAddress(i), testbed.TargetAddress(i))
	}
	faults := make([]network.Fault, 12)
	for i := range faults {
		faults[i] = network.Fault{
			Address:   addresses[h.random.IntN(len(addresses))],
			Direction: network.Direction(h.random.IntN(2)),
			Message:   h.random.IntN(80),
			Effect:    network.Effect(h.random.IntN(3)),
			Length:    clock.Millis(h.random.IntN(20_000)),
		}
	}
	return faults
}

// injectFailures breaks the streams of an engine, slows it down or replaces its agent, five times within
// historyLength. At its end no engine is slowed down.
func (h *randomHistory) injectFailures() {
	random := rand.New(rand.NewPCG(h.seed, 3))
	for range 5 {
		time.Sleep(time.Duration(random.Int64N(int64(historyLength / 5))))
		i := random.IntN(randomEngines)
		switch random.IntN(3) {
		case 0:
			h.bed.Engines[i].AbortAll()
		case 1:
			h.bed.Engines[i].SlowDown(1 + random.IntN(20))
		default:
			h.bed.Agents[i].Close()
			next, err := h.bed.StartAgent(i)
			if err != nil {
				h.t.Error(err)
				return
			}
			h.bed.Agents[i] = next
		}
	}
	for _, e := range h.bed.Engines {
		e.SlowDown(1)
	}
}

// burst sends n requests of all tiers within historyLength and returns their answers. Some are cancelled by their
// callers.
func (h *randomHistory) burst(n int) []testbed.Answer {
	tiers := []string{"pilot", "notice", "summary", "tag"}
	callers := make([]*testbed.Caller, randomEntries)
	for i := range callers {
		callers[i] = testbed.NewCaller(h.bed.Network, testbed.EntryAddress(i))
		h.t.Cleanup(callers[i].Close)
	}
	type draw struct {
		// The request is sent at this time from now, and cancelled by its caller after timeout.
		at, timeout time.Duration
		tier        string
		tokens      int
	}
	draws := make([]draw, n)
	for i := range draws {
		draws[i] = draw{
			at:      time.Duration(h.random.Int64N(int64(historyLength))),
			timeout: time.Duration(h.random.Int64N(int64(2 * historyLength))),
			tier:    tiers[h.random.IntN(len(tiers))],
			tokens:  1 + h.random.IntN(300),
		}
	}
	return parallel(n, func(i int) testbed.Answer {
		time.Sleep(draws[i].at)
		ctx, cancel := context.WithTimeout(context.Background(), draws[i].timeout)
		defer cancel()
		header := http.Header{"Quaydock-Tier": {draws[i].tier}}
		return callers[i%randomEntries].Chat(ctx, fmt.Sprint("request ", i), draws[i].tokens, i%3 == 0, header)
	})
}
