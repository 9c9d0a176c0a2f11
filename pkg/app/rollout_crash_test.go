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

// TestAVersionIsNotJudgedByARequestThatEndsTargets: a good version was rolled back because one caller's
// request ended three of its targets, with all that these ran. Whatever version a target has, it ends
// under that request; what it failed then says nothing of its version. One that ends by itself is
// still rolled back, as the drawn roll-outs with bad versions show.
func TestAVersionIsNotJudgedByARequestThatEndsTargets(t *testing.T) {
	wrong := 0
	for seed := *firstPlay; seed < *firstPlay+uint64(*playCount)*drawnCrashes; seed++ {
		with := playBesideARequestThatEndsTargets(t, seed, true)
		if with.state == "completed" {
			continue
		}
		// A good version may be rolled back for its luck.
		if without := playBesideARequestThatEndsTargets(t, seed, false); without.state == "completed" {
			wrong++
			t.Log(seed, with)
		}
	}
	if wrong > 0 {
		t.Errorf("%d good versions of %d were not completed for a request that ends targets", wrong, *playCount*drawnCrashes)
	}
}

func playBesideARequestThatEndsTargets(t *testing.T, seed uint64, ends bool) outcome {
	var o outcome
	synctest.Test(t, func(t *testing.T) {
		order := rolloutOrder{within: 18 * time.Second}
		b := newRolloutBed(t, seed, order)
		random := rand.New(rand.NewPCG(seed, 8))
		done := make(chan struct{})
		go func() {
			b.operate()
			close(done)
		}()
		if ends {
			time.AfterFunc(startUp+time.Duration(random.Int64N(int64(order.within/2))), func() { b.endUnderARequest(random) })
		}
		b.load(startUp + order.within + 8*time.Second)
		<-done
		o = b.outcome()
	})
	return o
}

// drawnCrashes is how many roll-outs are drawn for each of rollouts.plays.
const drawnCrashes = 4

// endUnderARequest ends three targets of the version on trial, one after the other, under one request.
func (b *rolloutBed) endUnderARequest(random *rand.Rand) {
	request := quarantine.Request{Digest: quarantine.Identify("acme", "/q", []byte("fatal")), Account: "acme", Route: "summary"}
	ended := 0
	for try := 0; ended < 3 && try < 100; try++ {
		time.Sleep(time.Duration(200+random.IntN(800)) * time.Millisecond)
		engines := b.enginesOf(newVersion)
		if len(engines) == 0 {
			continue
		}
		b.mu.Lock()
		// The request ends its target where requests go, together with all that runs there.
		e := slices.MaxFunc(engines, func(x, y *bedEngine) int { return cmp.Compare(x.running, y.running) })
		entry := b.entries[random.IntN(len(b.entries))]
		b.mu.Unlock()
		b.startAgain(e.id, newVersion)
		entry.process.guard.Ended(quarantine.Run{Request: request, Incarnation: ids.TargetIncarnation{Target: e.id, Start: e.start}, Again: ended > 0})
		ended++
	}
	if ended < 3 {
		b.t.Log(fmt.Sprint("only ", ended, " targets ended"))
	}
}
