package planner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
)

const start = clock.Millis(1_000_000)

func newPlanner(slots ...int) *planner.Planner {
	p := planner.New(rand.New(rand.NewPCG(1, 2)))
	p.SetTargets(start, targets(slots...))
	return p
}

func targets(slots ...int) []*routing.Target {
	list := make([]*routing.Target, 0, len(slots))
	for i, n := range slots {
		list = append(list, &routing.Target{ID: ids.Target(fmt.Sprintf("t%d", i)), Service: "s", Slots: n})
	}
	return list
}

func job(number uint64, tier ids.TierRank) planner.Job {
	return planner.Job{
		ID: planner.JobID{Entry: "e", Number: number}, Tier: tier,
		Arrived: start, Objective: clock.Second, Deadline: start + 10*clock.Second,
	}
}

func granted(list []planner.Decision) []uint64 {
	var numbers []uint64
	for _, d := range list {
		if g, ok := d.(planner.Grant); ok {
			numbers = append(numbers, g.ID.Number)
		}
	}
	return numbers
}

func refused(list []planner.Decision) []planner.Refuse {
	var all []planner.Refuse
	for _, d := range list {
		if r, ok := d.(planner.Refuse); ok {
			all = append(all, r)
		}
	}
	return all
}

func TestWhatWaitsIsServedInOrder(t *testing.T) {
	late := func(j planner.Job) planner.Job {
		j.Arrived -= 2 * clock.Second
		j.Returned = true // so that it is not refused
		return j
	}
	returned := func(j planner.Job, before clock.Millis) planner.Job {
		j.Returned, j.Before = true, before
		return j
	}
	events := func(j planner.Job, n int) planner.Job {
		j.Events = n
		return j
	}
	urgent := func(j planner.Job) planner.Job {
		j.Arrived -= 300
		return j
	}
	scenarios := []struct {
		name string
		jobs []planner.Job
		want []uint64
	}{
		{"a higher tier goes first", []planner.Job{job(1, 2), job(2, 1), job(3, 0)}, []uint64{3, 2, 1}},
		{"in a tier, what came back and can be in time by its first try is the more urgent", []planner.Job{job(1, 1), returned(job(2, 1), 400)}, []uint64{2, 1}},
		{"in a tier, what came back too late for its first try goes last", []planner.Job{returned(job(1, 1), 1200), job(2, 1)}, []uint64{2, 1}},
		{"in a tier, the shorter run goes first", []planner.Job{events(job(1, 1), 400), events(job(2, 1), 10)}, []uint64{2, 1}},
		{"of runs about as long, the more urgent goes first", []planner.Job{events(job(1, 1), 11), events(urgent(job(2, 1)), 10)}, []uint64{2, 1}},
		{"a long run of a higher tier goes before a short one", []planner.Job{events(job(1, 2), 10), events(job(2, 1), 400)}, []uint64{2, 1}},
		{"what came back too late goes before a lower tier", []planner.Job{job(1, 2), returned(job(2, 1), 1200)}, []uint64{2, 1}},
		{"in a tier, what can be in time goes before what is late", []planner.Job{late(job(1, 1)), job(2, 1)}, []uint64{2, 1}},
		{"a late job of a higher tier goes before a lower tier", []planner.Job{job(1, 2), late(job(2, 1))}, []uint64{2, 1}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			p := newPlanner(1)
			measure(p, 50, 20) // all at start: the pace is known, nothing is refused
			p.Submit(start, job(100, 0))
			if got := granted(p.Decisions()); !slices.Equal(got, []uint64{100}) {
				t.Fatalf("first grant %v", got)
			}
			for _, j := range s.jobs {
				p.Submit(start, j)
			}
			var order []uint64
			last := uint64(100)
			for range s.jobs {
				p.Finish(start, planner.JobID{Entry: "e", Number: last}, planner.Served, planner.Flow{})
				got := granted(p.Decisions())
				if len(got) != 1 {
					t.Fatalf("grants %v after %d", got, last)
				}
				last = got[0]
				order = append(order, last)
			}
			if !slices.Equal(order, s.want) {
				t.Errorf("order %v, want %v", order, s.want)
			}
		})
	}
}

// measure lets n jobs of a group run one after another for a while, so that the
// planner knows its pace.
func measure(p *planner.Planner, n int, each clock.Millis) clock.Millis {
	now := start - clock.Millis(n)*each
	for i := range n {
		j := job(uint64(1000+i), 9)
		j.Arrived, j.Deadline = now, now+10*clock.Second
		p.Submit(now, j)
		now += each
		p.Begin(now, j.ID, nil)
		p.Finish(now, j.ID, planner.Served, planner.Flow{})
	}
	p.Decisions()
	return now
}

func TestWhatCannotBeInTimeIsRefusedEarly(t *testing.T) {
	p := newPlanner(1)
	now := measure(p, 10, 200)
	var refusals []planner.Refuse
	for i := range 30 {
		j := job(uint64(i), 1)
		j.Arrived, j.Deadline = now, now+10*clock.Second
		p.Submit(now, j)
		refusals = append(refusals, refused(p.Decisions())...)
	}
	if len(refusals) < 15 || len(refusals) > 28 {
		t.Fatalf("%d of 30 refused at a pace of five a second and an objective of one", len(refusals))
	}
	for _, r := range refusals {
		if r.RetryAfter < 300 || r.RetryAfter > 3200 {
			t.Errorf("retry after %d ms", r.RetryAfter)
		}
	}
}

func TestALowTierIsRefusedWhileHigherOnesKeepComing(t *testing.T) {
	p := newPlanner(1)
	now := measure(p, 10, 200)
	// Higher tiers come as fast as the target serves.
	for i := range 10 {
		j := job(uint64(2000+i), 0)
		j.Arrived, j.Deadline = now, now+10*clock.Second
		p.Submit(now, j)
		now += 200
		p.Finish(now, j.ID, planner.Served, planner.Flow{})
	}
	running := job(1, 0)
	running.Arrived, running.Deadline = now, now+10*clock.Second
	p.Submit(now, running)
	p.Decisions()
	low := job(2, 5)
	low.Arrived, low.Deadline = now, now+10*clock.Second
	p.Submit(now, low)
	if len(refused(p.Decisions())) != 1 {
		t.Error("a job was taken that would wait behind all that comes")
	}
}

func TestAReturnedJobWaitsButNotToItsEnd(t *testing.T) {
	p := newPlanner(1)
	now := measure(p, 10, 500)
	block := job(1, 0)
	block.Arrived, block.Deadline = now, now+20*clock.Second
	p.Submit(now, block)
	back := job(2, 0)
	back.Arrived, back.Deadline, back.Returned = now, now+10*clock.Second, true
	for range 10 {
		p.Submit(now, back)
	}
	p.Decisions()
	for at := now; at < now+10*clock.Second; at += 50 {
		p.Submit(at, back) // its entry asks for it while it waits
		p.Tick(at)
		if len(refused(p.Decisions())) > 0 {
			if waited := at - now; waited < 4*clock.Second || waited > 5*clock.Second {
				t.Errorf("refused after %d ms of 10 s", waited)
			}
			return
		}
	}
	t.Error("held to its end")
}

func TestAStuckTargetIsSetAside(t *testing.T) {
	p := newPlanner(4, 4)
	now := measure(p, 20, 20)
	stuck := map[ids.Target]int{}
	for i := range 40 {
		j := job(uint64(i), 0)
		j.Arrived, j.Deadline = now, now+10*clock.Second
		p.Submit(now, j)
		for _, d := range p.Decisions() {
			g, ok := d.(planner.Grant)
			if !ok {
				continue
			}
			if g.Target == "t1" {
				stuck["t1"]++ // it never begins
				continue
			}
			p.Begin(now+20, g.ID, nil)
			p.Finish(now+20, g.ID, planner.Served, planner.Flow{})
		}
		now += 100
		p.Tick(now)
	}
	if stuck["t1"] > 4 {
		t.Errorf("a silent target got %d requests", stuck["t1"])
	}
}

func TestAFasterTargetGetsMore(t *testing.T) {
	p := newPlanner(8, 8)
	now := start
	given := map[ids.Target]int{}
	type ending struct {
		id planner.JobID
		at clock.Millis
	}
	var open []ending
	for i := range 600 {
		j := job(uint64(i), 0)
		j.Prompt, j.Events = 500, 10
		j.Arrived, j.Deadline = now, now+10*clock.Second
		p.Submit(now, j)
		for _, d := range p.Decisions() {
			g, ok := d.(planner.Grant)
			if !ok {
				continue
			}
			given[g.Target]++
			slow := clock.Millis(1)
			if g.Target == "t1" {
				slow = 5
			}
			p.Begin(now+20*slow, g.ID, nil)
			open = append(open, ending{id: g.ID, at: now + 120*slow})
		}
		now += 50
		open = slices.DeleteFunc(open, func(e ending) bool {
			if e.at > now {
				return false
			}
			p.Finish(now, e.id, planner.Served, planner.Flow{Events: 10})
			return true
		})
	}
	if given["t0"] < 2*given["t1"] {
		t.Errorf("five times faster target got %d, the other %d", given["t0"], given["t1"])
	}
}

func TestAPlannerThatBeginsAnewLearnsWhatRuns(t *testing.T) {
	p := newPlanner(2)
	p.Restore(start, job(1, 0), "t0", true)
	p.Restore(start, job(2, 0), "t0", false)
	p.Submit(start, job(3, 0))
	if got := granted(p.Decisions()); len(got) != 0 {
		t.Fatalf("granted %v on a target that others fill", got)
	}
	later := start + clock.Second
	p.Submit(later, job(3, 0))
	p.Keep(later, "e", func(id planner.JobID) bool { return id.Number == 1 })
	if got := granted(p.Decisions()); !slices.Equal(got, []uint64{3}) {
		t.Errorf("granted %v after a request was no longer listed", got)
	}
}

func TestWithoutTargetsNothingWaits(t *testing.T) {
	p := newPlanner()
	p.Submit(start, job(1, 0))
	got := refused(p.Decisions())
	if len(got) != 1 || !got[0].Empty || got[0].RetryAfter <= 0 {
		t.Errorf("decided %+v", got)
	}
}

func TestATargetThatOthersFillGetsNoMore(t *testing.T) {
	p := newPlanner(4, 4)
	now := measure(p, 20, 20)
	// Another planner's requests fill t1: it says so with each answer.
	given := map[ids.Target]int{}
	for i := range 60 {
		j := job(uint64(i), 0)
		j.Arrived, j.Deadline = now, now+10*clock.Second
		p.Submit(now, j)
		for _, d := range p.Decisions() {
			g, ok := d.(planner.Grant)
			if !ok {
				continue
			}
			if i >= 30 {
				given[g.Target]++
			}
			load := &planner.Load{Running: 1}
			if g.Target == "t1" {
				load = &planner.Load{Running: 4, Waiting: 3}
			}
			p.Begin(now, j.ID, load)
			p.Finish(now+20, j.ID, planner.Served, planner.Flow{})
		}
		now += 30
	}
	if given["t1"] > 3 || given["t0"] < 25 {
		t.Errorf("given %v of the last 30", given)
	}
}

func TestAJobIsToldBeforeItsCallerGivesItUp(t *testing.T) {
	p := newPlanner(1)
	now := measure(p, 10, 500)
	block := job(1, 0)
	block.Arrived, block.Deadline = now, now+60*clock.Second
	p.Submit(now, block)
	back := job(2, 0)
	back.Arrived, back.Deadline, back.Returned, back.Patience = now, now+15*clock.Second, true, 3200
	p.Submit(now, back)
	p.Decisions()
	for at := now; at < now+10*clock.Second; at += 50 {
		p.Submit(at, back)
		p.Tick(at)
		if len(refused(p.Decisions())) > 0 {
			if waited := at - now; waited > 2700 {
				t.Errorf("told after %d ms of a patience of 3200", waited)
			}
			return
		}
	}
	t.Error("never told")
}

// TestNothingBelowARefusedTierIsGranted has a tier refused while a target still
// has room for what may go nowhere else: lower tiers do not get it.
func TestNothingBelowARefusedTierIsGranted(t *testing.T) {
	p := newPlanner(1)
	now := measure(p, 10, 500)
	at := func(number uint64, tier ids.TierRank) planner.Job {
		j := job(number, tier)
		j.Arrived, j.Deadline = now, now+10*clock.Second
		return j
	}
	p.Submit(now, at(1, 0)) // it runs
	p.Submit(now, at(2, 1))
	p.Submit(now, at(3, 1))
	p.Submit(now, at(4, 1))
	if len(refused(p.Decisions())) == 0 {
		t.Fatal("nothing of the tier was refused")
	}
	low := at(9, 2)
	low.Returned, low.Objective = true, 8*clock.Second // it may wait
	p.Submit(now, low)
	for _, number := range []uint64{1, 2, 3, 4} {
		p.Withdraw(now, planner.JobID{Entry: "e", Number: number})
	}
	if got := granted(p.Decisions()); slices.Contains(got, 9) {
		t.Error("a lower tier was granted at the moment of a refusal")
	}
	later := now + 300
	p.Submit(later, low)
	p.Tick(later)
	if got := granted(p.Decisions()); !slices.Contains(got, 9) {
		t.Errorf("granted %v after the while", got)
	}
}

// TestWhatIsLateDoesNotTakeThePlaceOfWhatIsRefused has fresh requests of a tier
// refused: one that is late by its first try waits, although there is room for it
// at a moment when no other waits.
func TestWhatIsLateDoesNotTakeThePlaceOfWhatIsRefused(t *testing.T) {
	p := newPlanner(1)
	now := measure(p, 10, 500)
	at := func(number uint64) planner.Job {
		j := job(number, 1)
		j.Arrived, j.Deadline = now, now+10*clock.Second
		return j
	}
	p.Submit(now, at(1)) // it runs
	p.Submit(now, at(2))
	p.Submit(now, at(3))
	p.Submit(now, at(4))
	if len(refused(p.Decisions())) == 0 {
		t.Fatal("nothing was refused")
	}
	for _, number := range []uint64{2, 3, 4} {
		p.Withdraw(now, planner.JobID{Entry: "e", Number: number})
	}
	late := at(9)
	late.Returned, late.Before = true, 5*clock.Second
	p.Submit(now, late)
	p.Withdraw(now, planner.JobID{Entry: "e", Number: 1})
	if got := granted(p.Decisions()); len(got) != 0 {
		t.Errorf("granted %v at the moment of a refusal", got)
	}
	fresh := at(10)
	p.Submit(now, fresh)
	if got := granted(p.Decisions()); !slices.Equal(got, []uint64{10}) {
		t.Errorf("granted %v, want the fresh one", got)
	}
	p.Withdraw(now, fresh.ID)
	later := now + 300
	p.Submit(later, late)
	p.Tick(later)
	if got := granted(p.Decisions()); !slices.Equal(got, []uint64{9}) {
		t.Errorf("granted %v after the while", got)
	}
}

// TestWhereMostTargetsFailAllAreUsed has targets fail some requests in a row. One
// among many well ones is spared; where it is the only one, or most fail, it gets all
// that it has room for.
func TestWhereMostTargetsFailAllAreUsed(t *testing.T) {
	const slots = 6
	scenarios := []struct {
		name          string
		targets, fail int
		want          int // of 20 jobs, on the targets that failed
	}{
		{"one of four", 4, 1, 0},
		{"the only one", 1, 1, slots},
		{"three of four", 4, 3, 3 * slots},
	}
	for _, s := range scenarios {
		for _, after := range []clock.Millis{10, 2 * clock.Second} { // while they are set aside, and when they are tried
			t.Run(fmt.Sprint(s.name, " after ", after), func(t *testing.T) {
				all := make([]int, s.targets)
				for i := range all {
					all[i] = slots
				}
				p := newPlanner(all...)
				for i := range s.fail {
					failOn(p, ids.Target(fmt.Sprint("t", i)), s.targets)
				}
				now := start + after
				failed := 0
				for i := range uint64(20) {
					j := job(100+i, 0)
					j.Arrived, j.Deadline = now, now+10*clock.Second
					p.Submit(now, j)
					if at, _ := p.Granted(j.ID); at != "" && at < ids.Target(fmt.Sprint("t", s.fail)) {
						failed++
					}
				}
				if s.want == 0 && failed > 1 || s.want > 0 && failed < min(s.want, 20-slots) {
					t.Errorf("%d jobs on those that failed, want %d", failed, s.want)
				}
			})
		}
	}
}

// failOn has four requests in a row fail on one of so many targets.
func failOn(p *planner.Planner, at ids.Target, targets int) {
	for i := range uint64(4) {
		j := job(10+i, 0)
		for n := range targets {
			if other := ids.Target(fmt.Sprint("t", n)); other != at {
				j.Exclude = append(j.Exclude, other)
			}
		}
		p.Submit(start, j)
		p.Finish(start, j.ID, planner.Failed, planner.Flow{})
	}
	p.Decisions()
}

// TestAJobWithoutATargetDoesNotWait excludes all targets for a job, when it comes or
// while it waits: it is told so, and does not count as ahead of others.
func TestAJobWithoutATargetDoesNotWait(t *testing.T) {
	p := newPlanner(1, 1)
	block, other := job(1, 0), job(2, 0)
	p.Submit(start, block)
	p.Submit(start, other)
	none, one := job(3, 0), job(4, 0)
	none.Exclude = []ids.Target{"t0", "t1"}
	one.Exclude, one.Returned = []ids.Target{"t1"}, true
	p.Decisions()
	p.Submit(start, none)
	if got := refused(p.Decisions()); len(got) != 1 || !got[0].Empty || got[0].ID.Number != 3 {
		t.Errorf("refused %+v", got)
	}
	p.Submit(start, one)
	if got := refused(p.Decisions()); len(got) != 0 || !p.Waits(one.ID) {
		t.Errorf("refused %+v while a target is left", got)
	}
	p.SetTargets(start, targets(1, 1)[1:])
	p.Tick(start + 25)
	if got := refused(p.Decisions()); len(got) != 1 || !got[0].Empty || p.Waiting() != 0 {
		t.Errorf("refused %+v, %d wait", got, p.Waiting())
	}
}

// TestAPlannerThatTakesOverKnowsWhatIsSlow lets one planner learn that a target
// is slow: another that takes its knowledge over places nothing there while the
// others have room.
func TestAPlannerThatTakesOverKnowsWhatIsSlow(t *testing.T) {
	first := newPlanner(10, 10)
	now := start
	for i := range 60 {
		now += 500
		for n, took := range []clock.Millis{40, 200} {
			j := job(uint64(10*i+n), 0)
			j.Prompt, j.Arrived, j.Deadline = 1000, now, now+10*clock.Second
			j.Exclude = []ids.Target{ids.Target(fmt.Sprint("t", 1-n))}
			first.Submit(now, j)
			first.Begin(now+took, j.ID, nil)
			first.Finish(now+took, j.ID, planner.Served, planner.Flow{})
		}
	}
	learned := first.Learned()
	if learned == nil {
		t.Fatal("nothing learned")
	}
	for _, adopts := range []bool{false, true} {
		p := newPlanner(10, 10)
		if p.Learned() != nil {
			t.Error("a new planner claims to have learned something")
		}
		if adopts {
			p.Adopt(learned)
		}
		slow := 0
		for i := range uint64(6) {
			j := job(i, 0)
			j.Prompt = 1000
			p.Submit(start, j)
			if at, _ := p.Granted(j.ID); at == "t1" {
				slow++
			}
		}
		if adopts != (slow == 0) {
			t.Errorf("adopts %t: %d of 6 on the slow target", adopts, slow)
		}
	}
}

// TestRequestsStayInTheirFailureDomain has two engines of like speed, each in a
// domain of its own: a request goes to the one beside it while that has room, and
// to the other rather than wait.
func TestRequestsStayInTheirFailureDomain(t *testing.T) {
	p := planner.New(rand.New(rand.NewPCG(1, 2)))
	const slots = 10
	list := targets(slots, slots)
	list[0].Domain, list[1].Domain = "north", "south"
	p.SetTargets(start, list)
	for i := range slots + 1 {
		at := ids.Target("t1")
		if i == slots {
			at = "t0"
		}
		j := job(uint64(i), 0)
		j.Prompt, j.Events, j.Domain = 2000, 20, "south"
		p.Submit(start, j)
		if got, _ := p.Granted(j.ID); got != at {
			t.Errorf("request %d of the south is on %q, want %q", i, got, at)
		}
	}
}
