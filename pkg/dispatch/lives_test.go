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

const (
	formerStart ids.Start = 5000
	nextStart   ids.Start = 4000 // lower: the clock was set back meanwhile
)

// read has an entry read that the first target started at a moment.
func (b *bed) read(entry int, start ids.Start, more ...func(*routing.Target)) {
	first := *b.targets[0]
	first.Start = start
	for _, change := range more {
		change(&first)
	}
	b.views[entry].SetDirectory(routing.NewDirectory(append([]*routing.Target{&first}, b.targets[1:]...)))
}

// TestEntryAndHomeKnowDifferentLives: a request was placed on a target by a home that had not read of its
// restart, or by one that had while its entry had not: it ran in one life and was counted in
// another. A grant names the life, and an entry that knows another one lets the request be
// placed elsewhere.
func TestEntryAndHomeKnowDifferentLives(t *testing.T) {
	scenarios := []struct {
		name          string
		home, asker   ids.Start
		more          func(*routing.Target) // of what the asker knows
		wantOnRestart bool
	}{
		{"the home lags", formerStart, nextStart, nil, false},
		{"the entry lags", nextStart, formerStart, nil, false},
		{"the home lags, and the next life runs a withheld version", formerStart, nextStart, func(t *routing.Target) { t.Admission = routing.Withheld }, false},
		{"the home lags, and the next life serves something else", formerStart, nextStart, func(t *routing.Target) { t.Service = "other" }, false},
		{"the home knows no start", ids.UnknownStart, nextStart, nil, true},
		{"the entry knows no start", nextStart, ids.UnknownStart, nil, true},
		{"both know the same", nextStart, nextStart, nil, true},
		{"nobody knows a start, and the target serves something else", ids.UnknownStart, ids.UnknownStart, func(t *routing.Target) { t.Service = "other" }, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t)
				home := b.home(-1)
				asker := (home + 1) % entryCount
				for i := range entryCount {
					b.read(i, s.home)
				}
				if s.more == nil {
					s.more = func(*routing.Target) {}
				}
				b.read(asker, s.asker, s.more)
				time.Sleep(100 * time.Millisecond)
				b.load([]int{asker}, 20, 100*time.Millisecond, 50*time.Millisecond)
				if b.served != 20 {
					t.Errorf("%d of 20 served", b.served)
				}
				if n := b.total["t0"]; (n > 0) != s.wantOnRestart {
					t.Errorf("%d of 20 on the target that started again", n)
				}
			})
		})
	}
}

// TestATargetThatStartsAgainUnderLoad has a target start again while all places are taken, and each
// entry read of it at another time, the home first, last or between: over both lives the target
// gets no more than its slots, and once all have read of it, all of them.
func TestATargetThatStartsAgainUnderLoad(t *testing.T) {
	for _, homeReads := range []time.Duration{0, 150 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(homeReads.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t)
				for i := range entryCount {
					b.read(i, formerStart)
				}
				home := b.home(-1)
				for i, wait := range []time.Duration{homeReads, 100 * time.Millisecond, 300 * time.Millisecond} {
					time.AfterFunc(time.Second+wait, func() { b.read((home+i)%entryCount, nextStart) })
				}
				var all sync.WaitGroup
				for i := range 300 {
					all.Go(func() { b.untilReplaced(i%entryCount, 400*time.Millisecond) })
					time.Sleep(20 * time.Millisecond)
				}
				all.Wait()
				if b.most > slots {
					t.Errorf("up to %d at once in %d slots", b.most, slots)
				}
				if b.total["t0"] < 20 {
					t.Errorf("%d requests on the target that started again", b.total["t0"])
				}
			})
		})
	}
}

// untilReplaced runs one request that ends, failed, once its entry reads that its target has started
// again: its connection is closed.
func (b *bed) untilReplaced(entry int, length time.Duration) {
	now := b.Clock.Now()
	ask := schedule.Request{Service: "s", Job: planner.Job{Arrived: now, Objective: 200 * clock.Second, Deadline: now + 400*clock.Second}}
	p, refused, err := b.entries[entry].Acquire(context.Background(), ask)
	if refused != nil || err != nil {
		return
	}
	life := p.Target().Incarnation()
	b.note(life.Target, 1)
	outcome := planner.Served
	const step = 5 * time.Millisecond
	for passed := time.Duration(0); passed < length; passed += step {
		time.Sleep(step)
		if b.views[entry].Directory().Replaced(life) {
			outcome = planner.Failed
			break
		}
	}
	b.note(life.Target, -1)
	p.Done(outcome, planner.StreamStats{})
}

// note counts what runs on a target, whichever life it is.
func (b *bed) note(id ids.Target, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[id] += n
	b.most = max(b.most, b.running[id])
	if n > 0 {
		b.total[id]++
	}
}
