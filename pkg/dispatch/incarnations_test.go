package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
	"quaydock/pkg/schedule"
)

// The starts of the two incarnations of the first target.
const (
	formerStart ids.Start = 5000
	nextStart   ids.Start = 4000 // lower, as if the VM's clock had been set back
)

// listFirstTarget gives an entry a target list in which the first target has the given start.
func (b *cluster) listFirstTarget(entry int, start ids.Start, more ...func(*routing.Target)) {
	first := *b.targets[0]
	first.Start = start
	for _, change := range more {
		change(&first)
	}
	b.views[entry].SetDirectory(routing.NewDirectory(append([]*routing.Target{&first}, b.targets[1:]...)))
}

// Guards against requests that run in one incarnation of a target and are counted in another: the owner had not read of
// the restart, or the entry had not. A grant names the incarnation, and an entry that knows another one has the request
// assigned to another target.
func TestEntryAndOwnerKnowDifferentIncarnations(t *testing.T) {
	scenarios := []struct {
		name             string
		owner, requester ids.Start             // of the first target, as the owner and the requester know it
		more             func(*routing.Target) // changes what the requester knows
		wantOnRestart    bool                  // whether the first target gets requests
	}{
		{"the owner lags", formerStart, nextStart, nil, false},
		{"the entry lags", nextStart, formerStart, nil, false},
		{"the owner lags, and the next incarnation runs a withheld version", formerStart, nextStart, func(t *routing.Target) { t.Admission = routing.Withheld }, false},
		{"the owner lags, and the next incarnation serves another service", formerStart, nextStart, func(t *routing.Target) { t.Service = "other" }, false},
		{"the owner knows no start", ids.UnknownStart, nextStart, nil, true},
		{"the entry knows no start", nextStart, ids.UnknownStart, nil, true},
		{"both know the same", nextStart, nextStart, nil, true},
		{"neither knows a start, and the target serves another service", ids.UnknownStart, ids.UnknownStart, func(t *routing.Target) { t.Service = "other" }, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newCluster(t)
				owner := b.ownerIndex(-1)
				requester := (owner + 1) % entryCount
				for i := range entryCount {
					b.listFirstTarget(i, s.owner)
				}
				if s.more == nil {
					s.more = func(*routing.Target) {}
				}
				b.listFirstTarget(requester, s.requester, s.more)
				time.Sleep(100 * time.Millisecond)
				b.runRequests([]int{requester}, 20, 100*time.Millisecond, 50*time.Millisecond)
				if b.served != 20 {
					t.Errorf("%d of 20 served", b.served)
				}
				if n := b.total["t0"]; (n > 0) != s.wantOnRestart {
					t.Errorf("%d of 20 requests on the restarted target", n)
				}
			})
		})
	}
}

// A target restarts while all slots are taken, and each entry reads of it at another time, the owner first, in between
// or last. Over both incarnations the target must never run more requests than it has slots, and must get requests
// again once all entries have read of the restart.
func TestTargetRestartUnderLoadStaysWithinSlots(t *testing.T) {
	for _, ownerReads := range []time.Duration{0, 150 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(ownerReads.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newCluster(t)
				for i := range entryCount {
					b.listFirstTarget(i, formerStart)
				}
				owner := b.ownerIndex(-1)
				for i, wait := range []time.Duration{ownerReads, 100 * time.Millisecond, 300 * time.Millisecond} {
					time.AfterFunc(time.Second+wait, func() { b.listFirstTarget((owner+i)%entryCount, nextStart) })
				}
				var all sync.WaitGroup
				for i := range 300 {
					all.Go(func() { b.runUntilReplaced(i%entryCount, 400*time.Millisecond) })
					time.Sleep(20 * time.Millisecond)
				}
				all.Wait()
				if b.maxRunning > slots {
					t.Errorf("up to %d at once in %d slots", b.maxRunning, slots)
				}
				if b.total["t0"] < 20 {
					t.Errorf("%d requests on the restarted target, want at least 20", b.total["t0"])
				}
			})
		})
	}
}

// runUntilReplaced runs one request. It fails once its entry reads that its target has
// restarted, as its connection is closed then.
func (b *cluster) runUntilReplaced(entry int, length time.Duration) {
	now := b.Clock.Now()
	request := schedule.Request{Service: "s", Job: planner.Job{Arrived: now, Objective: 200 * clock.Second, Deadline: now + 400*clock.Second}}
	p, refused, err := b.entries[entry].Acquire(context.Background(), request)
	if refused != nil || err != nil {
		return
	}
	incarnation := p.Target().Incarnation()
	b.countRunning(incarnation.Target, 1)
	outcome := planner.Served
	const step = 5 * time.Millisecond
	for passed := time.Duration(0); passed < length; passed += step {
		time.Sleep(step)
		if b.views[entry].Directory().Replaced(incarnation) {
			outcome = planner.Failed
			break
		}
	}
	b.countRunning(incarnation.Target, -1)
	p.Done(outcome, planner.StreamStats{})
}

// countRunning adds n to the requests that run on a target, in any incarnation.
func (b *cluster) countRunning(id ids.Target, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[id] += n
	b.maxRunning = max(b.maxRunning, b.running[id])
	if n > 0 {
		b.total[id]++
	}
}

// Guards against a healthy target that gets no request for seconds because one entry lags behind the others, does not
// list the target yet, and returns what it was granted there.
func TestTargetIsUsedThoughOneEntryLags(t *testing.T) {
	const hold = 300 * time.Millisecond // for which an entry is granted nothing at a target after it has returned a grant
	const rounds = 8                    // so that a fair quarter of the requests is not by chance below a fifth
	ofOther, ofLagging := 0, 0
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			b := newCluster(t)
			owner := b.ownerIndex(-1)
			lagging, other := (owner+1)%entryCount, (owner+2)%entryCount
			b.views[lagging].SetDirectory(routing.NewDirectory(b.targets[1:]))
			time.Sleep(100 * time.Millisecond)
			b.runRequests([]int{lagging, other}, 200, 5*time.Millisecond, 20*time.Millisecond)
			ofOther += b.total["t0"]
			b.views[lagging].SetDirectory(routing.NewDirectory(b.targets))
			clear(b.total)
			time.Sleep(hold)
			b.runRequests([]int{lagging}, 100, 5*time.Millisecond, 20*time.Millisecond)
			ofLagging += b.total["t0"]
		})
	}
	if ofOther < 20*rounds {
		t.Errorf("%d of %d requests of another entry on the target", ofOther, 100*rounds)
	}
	if ofLagging < 20*rounds {
		t.Errorf("%d of %d requests of the entry on the target once it lists it", ofLagging, 100*rounds)
	}
}
