package app

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/ids"
	"quaydock/pkg/quarantine"
)

// TestFatalRequestRollsNoGoodVersionBack guards against the roll-back of a good version because of one request. One
// caller's request ended three of its targets, with all the requests that these ran. Such a request ends targets of any
// version, so failures at these ends are no evidence against the version. Versions that fail by themselves are still
// rolled back: see the random roll-outs of bad versions.
func TestFatalRequestRollsNoGoodVersionBack(t *testing.T) {
	wrong := 0
	for seed := *firstPlay; seed < *firstPlay+uint64(*playCount)*crashPlaysPerCount; seed++ {
		with := playWithFatalRequest(t, seed, true)
		if with.state == "completed" {
			continue
		}
		// A good version may also be rolled back by chance: compare with a play of the same seed without the request.
		if without := playWithFatalRequest(t, seed, false); without.state == "completed" {
			wrong++
			t.Log(seed, with)
		}
	}
	if wrong > 0 {
		t.Errorf("%d of %d good versions were not completed because of a request that ends targets", wrong, *playCount*crashPlaysPerCount)
	}
}

// playWithFatalRequest plays the roll-out of a good version. If ends is set, a request ends three of its targets
// meanwhile.
func playWithFatalRequest(t *testing.T, seed uint64, ends bool) outcome {
	var o outcome
	synctest.Test(t, func(t *testing.T) {
		order := rolloutOrder{duration: 18 * time.Second}
		b := newRolloutBed(t, seed, order)
		random := rand.New(rand.NewPCG(seed, 8))
		done := make(chan struct{})
		go func() {
			b.operate()
			close(done)
		}()
		if ends {
			time.AfterFunc(warmUp+time.Duration(random.Int64N(int64(order.duration/2))), func() { b.endTargetsUnderOneRequest(random) })
		}
		b.load(warmUp + order.duration + 8*time.Second)
		<-done
		o = b.outcome()
	})
	return o
}

// crashPlaysPerCount is the number of random roll-outs for each one of the flag rollouts.plays.
const crashPlaysPerCount = 4

// endTargetsUnderOneRequest ends three targets of the version on trial, one after the other, as if they ran the same
// request at the time.
func (b *rolloutBed) endTargetsUnderOneRequest(random *rand.Rand) {
	request := quarantine.Request{Digest: quarantine.Identify("acme", "/q", []byte("fatal")), Account: "acme", Route: "summary"}
	ended := 0
	for try := 0; ended < 3 && try < 100; try++ {
		time.Sleep(time.Duration(200+random.IntN(800)) * time.Millisecond)
		engines := b.enginesOf(newVersion)
		if len(engines) == 0 {
			continue
		}
		b.mu.Lock()
		// The request ends the target with the most running requests, all of which are broken off with it.
		e := slices.MaxFunc(engines, func(x, y *bedEngine) int { return cmp.Compare(x.running, y.running) })
		entry := b.entries[random.IntN(len(b.entries))]
		b.mu.Unlock()
		b.startAgain(e.id, newVersion)
		entry.process.guard.RecordTargetEnd(quarantine.Run{Request: request, Incarnation: ids.TargetIncarnation{Target: e.id, Start: e.start}, Again: ended > 0})
		ended++
	}
	if ended < 3 {
		b.t.Log(fmt.Sprint("only ", ended, " targets ended"))
	}
}
