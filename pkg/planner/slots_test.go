package planner_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/loadmodel"
	"quaydock/pkg/planner"
	"quaydock/pkg/ratelimit"
)

// mixedCalls is a load of calls of which some end far sooner than the others, with bursts that fill the targets for a
// while. Beside the bursts a third of the slots is taken.
func mixedCalls(seed uint64) loadmodel.Load {
	l := loadmodel.Load{
		Length: 30 * clock.Second, Seed: seed,
		Kinds: []loadmodel.Kind{
			{Name: "query", PerSecond: 120, Work: 55, Spread: 0.5, Objective: 300, Deadline: 3000, MaxReturns: 1, Worth: 1, LateWorth: 0.3},
			{Name: "check", PerSecond: 45, Work: 3, Spread: 0.3, Objective: 300, Deadline: 3000, MaxReturns: 1, Worth: 1, LateWorth: 0.3},
		},
		Bursts: []loadmodel.Burst{{At: 3 * clock.Second, For: 5 * clock.Second, Factor: 2.2}, {At: 13 * clock.Second, For: 2500, Factor: 2.5}},
	}
	for _, factor := range []float64{0.6, 0.8, 1, 1.3, 1.7, 1.7} {
		l.Targets = append(l.Targets, loadmodel.TargetGroup{Count: 1, Slots: 6, Factor: factor})
	}
	return l
}

// TestCallsOfUnlikeLengthsLeaveNoSlotsUnused guards against targets that get one call at a time for good, while callers
// are refused, because the calls that run beside few others happen to be the short ones.
func TestCallsOfUnlikeLengthsLeaveNoSlotsUnused(t *testing.T) {
	for seed := range uint64(12) {
		all := loadmodel.Simulate(mixedCalls(seed+1), loadmodel.Observer{}).Total()
		t.Logf("seed %d: in time %.3f of %d", seed+1, fraction(all.InTime, all), all.Callers)
		if fraction(all.InTime, all) < 0.97 {
			t.Errorf("seed %d: in time %.3f, want at least 0.97", seed+1, fraction(all.InTime, all))
		}
	}
}

// busyTargets has callers that keep targets busy with calls of unlike lengths, each of whom sends one call after another.
// Beside several others a call takes longer, until a moment.
type busyTargets struct {
	planner *planner.Planner
	random  *rand.Rand
	even    clock.Millis // from when on calls take no longer beside others
	slow    spell
	running map[ids.Target]int
	calls   map[planner.JobID]busyCall
	number  uint64
	granted map[ids.Target]int
}

// newBusyTargets returns four targets of six slots without calls.
func newBusyTargets(seed uint64) *busyTargets {
	const slots = 6
	return &busyTargets{
		planner: newPlanner(slots, slots, slots, slots), random: rand.New(rand.NewPCG(seed, 1)),
		running: make(map[ids.Target]int), calls: make(map[planner.JobID]busyCall), granted: make(map[ids.Target]int),
	}
}

// spell is a time in which calls that begin at a target take so many times as long.
type spell struct {
	target      ids.Target
	from, until clock.Millis
	times       int
}

// busyCall is a call that runs.
type busyCall struct {
	target ids.Target
	ends   clock.Millis
}

// step lets a ms pass: calls end, and each of so many callers that has none sends the next one.
func (f *busyTargets) step(now clock.Millis, callers int) {
	for _, id := range f.ending(now) {
		f.running[f.calls[id].target]--
		delete(f.calls, id)
		f.planner.RecordFirstEvent(now, id, nil)
		f.planner.Finish(now, id, planner.Served, planner.StreamStats{})
	}
	for range callers - f.planner.Running() - f.planner.Waiting() {
		f.number++
		j := job(f.number, 0)
		j.Prompt, j.Events, j.Arrived, j.Objective, j.Deadline = 0, 0, now, 300, now+4*clock.Second
		f.planner.Submit(now, j)
		f.begin(now)
	}
	f.planner.Tick(now)
	f.begin(now)
}

// ending returns the calls that end now, in the order in which they were sent.
func (f *busyTargets) ending(now clock.Millis) []planner.JobID {
	var ended []planner.JobID
	for id, c := range f.calls {
		if now >= c.ends {
			ended = append(ended, id)
		}
	}
	slices.SortFunc(ended, func(a, b planner.JobID) int { return cmp.Compare(a.Number, b.Number) })
	return ended
}

// begin has the granted calls run: some of them take longer than others, and all take longer beside several others.
func (f *busyTargets) begin(now clock.Millis) {
	for _, d := range f.planner.Decisions() {
		g, granted := d.(planner.Grant)
		if !granted {
			continue
		}
		at := g.Incarnation.Target
		f.running[at]++
		length := 10 + f.random.IntN(10)
		if f.random.IntN(2) == 0 {
			length *= 3
		}
		if now < f.even && f.running[at] > 3 {
			length *= 4
		}
		if at == f.slow.target && now >= f.slow.from && now < f.slow.until {
			length *= f.slow.times
		}
		f.granted[at]++
		f.calls[g.ID] = busyCall{target: at, ends: now + clock.Millis(length)}
	}
}

// TestCallsGetAllSlotsWithinASecondOnceTargetsSlowDownNoMore guards against a limit on calls at once that stays although
// nothing has shown for long that more at once would take longer.
func TestCallsGetAllSlotsWithinASecondOnceTargetsSlowDownNoMore(t *testing.T) {
	const targetSlots, callers = 24, 36
	even := start + 10*clock.Second
	for seed := range uint64(8) {
		f := newBusyTargets(seed)
		f.even = even
		limited, usable := 0, 0.0
		for now := start; now < even+3*clock.Second; now++ {
			f.step(now, min(callers, 4+int((now-start)/(100*clock.Millisecond))))
			if now == even-1 {
				limited = f.planner.UsableSlots(now)
			}
			if now >= even+clock.Second {
				usable += float64(f.planner.UsableSlots(now)) / (targetSlots * 2 * float64(clock.Second))
			}
		}
		t.Logf("seed %d: %d of %d slots usable while targets slow down, %.3f of them from 1 s after they do no more", seed, limited, targetSlots, usable)
		if limited > targetSlots/2 || usable < 0.9 {
			t.Errorf("seed %d: %d of %d slots usable while targets slow down, then %.3f of them, want half and at least 0.9", seed, limited, targetSlots, usable)
		}
	}
}

// TestTargetThatWasSlowGetsItsPartAgain guards against a target that gets nothing for good, as calls were slow there for a
// while and nothing shows that they are no more, while callers wait for the others.
func TestTargetThatWasSlowGetsItsPartAgain(t *testing.T) {
	const callers = 21
	for seed := range uint64(8) {
		f := newBusyTargets(seed)
		f.slow = spell{target: "t0", from: start + 4*clock.Second, until: start + 7*clock.Second, times: 20}
		for now := start; now < f.slow.until+8*clock.Second; now++ {
			if now == f.slow.until+3*clock.Second {
				clear(f.granted)
			}
			f.step(now, callers)
		}
		others := float64(f.granted["t1"]+f.granted["t2"]+f.granted["t3"]) / 3
		t.Logf("seed %d: %d calls at the target that was slow, %.0f at each of the others", seed, f.granted["t0"], others)
		if float64(f.granted["t0"]) < others/4 {
			t.Errorf("seed %d: %d calls at the target that was slow, %.0f at each of the others", seed, f.granted["t0"], others)
		}
	}
}

// TestRefusalTellsOfFreeSlots guards against refusals beside free slots that nobody can see.
func TestRefusalTellsOfFreeSlots(t *testing.T) {
	const slots = 6
	p := newPlanner(slots)
	p.SetLimit(start, ids.TargetIncarnation{Target: "t0"}, ratelimit.Report{Known: true, Rate: 1, From: start, To: start})
	var refusal planner.Refusal
	for number := range uint64(40) {
		p.Submit(start, job(number, 0))
		for _, d := range p.Decisions() {
			if r, refused := d.(planner.Refusal); refused {
				refusal = r
			}
		}
	}
	if f := refusal.WhileFree; f == nil || f.Slots != slots || f.Usable != slots || f.Free != slots-p.Running() {
		t.Errorf("got a refusal with %+v while %d of %d slots are taken by a rate limit", f, p.Running(), slots)
	}
	if p.RefusalsWhileFree() == 0 || p.RefusalsWhileFree() != p.Summary(start).RefusalsWhileFree {
		t.Errorf("%d refusals with free slots, %d in the summary", p.RefusalsWhileFree(), p.Summary(start).RefusalsWhileFree)
	}
}

// TestEstimatesOfUnlikeCallsKeepTheirScale guards against factors of targets that all rise, and estimates that fall in
// return, so that times learned earlier cannot be compared with those of now.
func TestEstimatesOfUnlikeCallsKeepTheirScale(t *testing.T) {
	for seed := range uint64(8) {
		load := mixedCalls(seed + 1)
		load.Targets = []loadmodel.TargetGroup{{Count: 6, Slots: 6, Factor: 1}}
		var last planner.Summary
		loadmodel.Simulate(load, loadmodel.Observer{Submitted: func(now clock.Millis, p *planner.Planner, _ planner.JobID) { last = p.Summary(now) }})
		mean := 0.0
		for _, f := range last.Factors {
			mean += f / float64(len(last.Factors))
		}
		t.Logf("seed %d: mean factor %.2f", seed+1, mean)
		if mean < 0.5 || mean > 2 {
			t.Errorf("seed %d: targets of factor 1 have the mean factor %.2f", seed+1, mean)
		}
	}
}
