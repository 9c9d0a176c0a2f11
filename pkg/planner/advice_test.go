package planner_test

import (
	"slices"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
)

// jobOf returns a job of an entry in the highest tier that arrives at a moment.
func jobOf(entry string, number uint64, now clock.Millis) planner.Job {
	j := job(number, 0)
	j.ID.Entry = entry
	j.Arrived, j.Deadline = now, now+10*clock.Second
	return j
}

// targetsOf returns the targets that were granted.
func targetsOf(list []planner.Decision) []ids.Target {
	var targets []ids.Target
	for _, at := range placed(list) {
		targets = append(targets, at.Target)
	}
	return targets
}

// grantedEntries returns the entries whose jobs were granted.
func grantedEntries(list []planner.Decision) []string {
	var entries []string
	for _, d := range list {
		if g, ok := d.(planner.Grant); ok {
			entries = append(entries, g.ID.Entry)
		}
	}
	return entries
}

// firstTarget is the incarnation of t0 in tests without restarts, where starts are unknown.
var firstTarget = ids.TargetIncarnation{Target: "t0"}

// TestDrainingTargetGetsNoGrants: one entry received the advice, and the jobs of all entries avoid the target. A
// target row that is older than the advice does not undo it; a new incarnation of the target starts without it.
func TestDrainingTargetGetsNoGrants(t *testing.T) {
	p := newPlanner()
	p.SetTargets(start, restarted(formerStart, 4, 4))
	p.Advise(start, "a", ids.TargetIncarnation{Target: "t0", Start: formerStart}, true, 0)
	p.SetTargets(start, restarted(formerStart, 4, 4))
	for n := range uint64(2) {
		p.Submit(start, jobOf("a", n, start))
		p.Submit(start, jobOf("b", n, start))
	}
	if got := targetsOf(p.Decisions()); !slices.Equal(got, []ids.Target{"t1", "t1", "t1", "t1"}) {
		t.Errorf("granted %v", got)
	}
	p.SetTargets(start, restarted(nextStart, 4, 4))
	p.Submit(start, jobOf("b", 9, start))
	if got := targetsOf(p.Decisions()); !slices.Equal(got, []ids.Target{"t0"}) {
		t.Errorf("granted %v after its restart", got)
	}
}

// TestWaitingJobsRefusedWhenLastTargetDrains: the only target is full and starts to drain.
func TestWaitingJobsRefusedWhenLastTargetDrains(t *testing.T) {
	p := newPlanner(1)
	p.Submit(start, jobOf("a", 1, start))
	second := jobOf("a", 2, start)
	second.Objective = 5 * clock.Second // it waits
	p.Submit(start, second)
	p.Decisions()
	p.Advise(start, "a", firstTarget, true, 0)
	got := refused(p.Decisions())
	if len(got) != 1 || got[0].ID.Number != 2 || !got[0].NoTargets {
		t.Errorf("refused %+v", got)
	}
}

// TestOtherEntriesPreferTargetsWithoutBackoff: a target that asked another entry for a back-off gets an entry's jobs
// only once there is no free slot elsewhere.
func TestOtherEntriesPreferTargetsWithoutBackoff(t *testing.T) {
	p := newPlanner(8, 4)
	p.Advise(start, "a", firstTarget, false, 3*clock.Second)
	for n := range uint64(6) {
		p.Submit(start, jobOf("b", n, start))
	}
	if got := targetsOf(p.Decisions()); !slices.Equal(got, []ids.Target{"t1", "t1", "t1", "t1", "t0", "t0"}) {
		t.Errorf("granted %v", got)
	}
}

// TestBackoffAppliesToOneEntry: the entry that was asked sends nothing for that time, others continue.
func TestBackoffAppliesToOneEntry(t *testing.T) {
	p := newPlanner(8, 2)
	p.Advise(start, "a", firstTarget, false, 3*clock.Second)
	for n := range uint64(2) {
		p.Submit(start, jobOf("a", n, start))
	}
	if got := targetsOf(p.Decisions()); !slices.Equal(got, []ids.Target{"t1", "t1"}) {
		t.Errorf("the entry that was asked to back off got %v", got)
	}
	for n := range uint64(4) {
		p.Submit(start, jobOf("b", n, start))
	}
	if got := targetsOf(p.Decisions()); !slices.Equal(got, []ids.Target{"t0", "t0", "t0", "t0"}) {
		t.Errorf("another entry got %v", got)
	}
}

// TestTargetNotRefilledAtOnceAfterBackoff: a target that rejected all requests gets one job of the entry at a time
// until it has served one.
func TestTargetNotRefilledAtOnceAfterBackoff(t *testing.T) {
	p := newPlanner(8)
	now := measure(p, 50, 100) + clock.Second
	p.Advise(now, "a", firstTarget, false, clock.Second)
	now += clock.Second
	for n := range uint64(4) {
		p.Submit(now, jobOf("a", n, now))
	}
	if got := granted(p.Decisions()); !slices.Equal(got, []uint64{0}) {
		t.Fatalf("granted %v at the end of the back-off", got)
	}
	p.Finish(now, jobOf("a", 0, now).ID, planner.Full, planner.StreamStats{})
	if got := granted(p.Decisions()); !slices.Equal(got, []uint64{1}) {
		t.Fatalf("granted %v after one more was rejected", got)
	}
	p.Finish(now, jobOf("a", 1, now).ID, planner.Served, planner.StreamStats{})
	if got := granted(p.Decisions()); !slices.Equal(got, []uint64{2, 3}) {
		t.Errorf("granted %v after one was served", got)
	}
}

// TestAllTargetsBackOffFromOneEntry: its jobs wait for the end of the back-off if they can be in time then, and are
// refused at once if not, with times to retry that are not before the end and not the same for all. Jobs of other
// entries do not wait.
func TestAllTargetsBackOffFromOneEntry(t *testing.T) {
	scenarios := []struct {
		name    string
		backoff clock.Millis
		refused bool // the job is refused at once: its objective is one second
	}{
		{"a short back-off", 300, false},
		{"a back-off beyond the objective", 3 * clock.Second, true},
		{"a back-off beyond the deadline", 60 * clock.Second, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			p := newPlanner(8, 8)
			now := measure(p, 50, 100) + clock.Second
			p.Advise(now, "a", firstTarget, false, s.backoff+200)
			p.Advise(now, "a", ids.TargetIncarnation{Target: "t1"}, false, s.backoff)
			retryTimes := make(map[clock.Millis]bool)
			for n := range uint64(20) {
				p.Submit(now, jobOf("a", n, now))
			}
			decided := p.Decisions()
			if len(granted(decided)) > 0 {
				t.Fatalf("granted %v", granted(decided))
			}
			for _, r := range refused(decided) {
				if !r.BackedOff || r.NoTargets || r.RetryAfter < s.backoff || r.RetryAfter > max(s.backoff+clock.Second, 10*clock.Second/3) {
					t.Errorf("refused %+v", r)
				}
				retryTimes[r.RetryAfter] = true
			}
			if s.refused && len(retryTimes) < 15 || !s.refused && len(retryTimes) > 0 {
				t.Errorf("%d different times to retry after", len(retryTimes))
			}
			low := jobOf("b", 1, now)
			low.Tier = 5
			p.Submit(now, low)
			if got := granted(p.Decisions()); !slices.Equal(got, []uint64{1}) {
				t.Errorf("a job of a lower tier of another entry: granted %v", got)
			}
			p.Tick(now + s.backoff)
			if got := targetsOf(p.Decisions()); !s.refused && !slices.Equal(got, []ids.Target{"t1"}) {
				t.Errorf("granted %v at the end of the back-off", got)
			}
		})
	}
}

// TestWithheldRequestsDoNotEjectTarget: an entry returns grants unused because the target has asked it to send
// nothing; other entries continue there.
func TestWithheldRequestsDoNotEjectTarget(t *testing.T) {
	p := newPlanner(2)
	for n := range uint64(5) {
		p.Submit(start, jobOf("a", n, start))
		p.Finish(start, jobOf("a", n, start).ID, planner.Withheld, planner.StreamStats{})
	}
	p.Decisions()
	p.Submit(start, jobOf("b", 1, start))
	p.Submit(start, jobOf("b", 2, start))
	if got := granted(p.Decisions()); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("granted %v", got)
	}
}

// TestAdviceOfUnknownIncarnationsIgnored: an entry reports advice of an incarnation that is not known here, or not
// any more.
func TestAdviceOfUnknownIncarnationsIgnored(t *testing.T) {
	p := newPlanner()
	p.SetTargets(start, restarted(nextStart, 2))
	p.Advise(start, "a", ids.TargetIncarnation{Target: "gone"}, true, clock.Second)
	p.Advise(start, "a", ids.TargetIncarnation{Target: "t0", Start: formerStart}, true, clock.Second)
	p.Submit(start, jobOf("a", 1, start))
	if got := granted(p.Decisions()); !slices.Equal(got, []uint64{1}) {
		t.Errorf("granted %v", got)
	}
}

// TestCanaryTargetObservesAdvice: back-off and draining also hold for targets of a canary version.
func TestCanaryTargetObservesAdvice(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		p := newPlanner()
		p.SetTargets(start, []*routing.Target{{ID: "t0", Service: "s", Slots: 4, Admission: routing.OnTrial}})
		p.SetTrial(planner.Trial{Fraction: 1}, true)
		p.Advise(start, "a", firstTarget, leaving, 3*clock.Second)
		for n := range uint64(10) {
			j := jobOf("a", n, start)
			j.Trial, j.Route = true, "r"
			p.Submit(start, j)
		}
		p.Tick(start + 100)
		if got := granted(p.Decisions()); len(got) > 0 {
			t.Errorf("leaving %t: granted %v", leaving, got)
		}
	}
}

// TestReturnedGrantHoldsBackOneEntry guards against a healthy target that is ejected since an entry whose target list
// differs returns its grants.
func TestReturnedGrantHoldsBackOneEntry(t *testing.T) {
	const hold = 300 * clock.Millisecond
	p := newPlanner(4)
	now := start
	for n := range uint64(8) { // more than once, as while the lists differ for longer
		p.Submit(now, jobOf("lagging", n, now))
		if got := targetsOf(p.Decisions()); len(got) != 1 {
			t.Fatalf("granted %v after %v", got, now-start)
		}
		p.Finish(now, jobOf("lagging", n, now).ID, planner.Declined, planner.StreamStats{})
		now += hold
	}
	now -= hold
	waiting := jobOf("lagging", 10, now)
	waiting.Objective = 5 * clock.Second
	p.Submit(now, waiting)
	for n := range uint64(4) {
		p.Submit(now, jobOf("other", n, now))
	}
	if got := grantedEntries(p.Decisions()); !slices.Equal(got, []string{"other", "other", "other", "other"}) {
		t.Errorf("granted to %v", got)
	}
	p.Finish(now, jobOf("other", 0, now).ID, planner.Served, planner.StreamStats{})
	now += hold - 1
	p.Submit(now, waiting)
	p.Tick(now)
	if got := grantedEntries(p.Decisions()); len(got) != 0 {
		t.Errorf("granted to %v within the hold", got)
	}
	p.Tick(now + 1)
	if got := grantedEntries(p.Decisions()); !slices.Equal(got, []string{"lagging"}) {
		t.Errorf("granted to %v after the hold", got)
	}
}

// TestGrantsReturnedBySeveralEntriesEjectTarget guards against requests of each entry in turn that are granted a target
// which only the owner still lists.
func TestGrantsReturnedBySeveralEntriesEjectTarget(t *testing.T) {
	const ejection = 600 * clock.Millisecond
	scenarios := []struct {
		name   string
		served bool // the target serves a request that was granted before
		at     clock.Millis
		want   int // jobs of a third entry that are granted the target
	}{
		{"within the ejection", false, ejection - 1, 0},
		{"after it", false, ejection, 3},
		{"it has served a request", true, 1, 4},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			p := newPlanner(4, 4, 4)
			p.SetTargets(start, targets(4, 4, 4)[:1])
			p.Submit(start, jobOf("d", 1, start))
			for _, entry := range []string{"a", "b"} {
				p.Submit(start, jobOf(entry, 1, start))
				p.Finish(start, jobOf(entry, 1, start).ID, planner.Declined, planner.StreamStats{})
			}
			p.SetTargets(start, targets(4, 4, 4)) // enough healthy ones, so that an ejected one is left out
			p.RecordFirstEvent(start, jobOf("d", 1, start).ID, nil)
			for id := range uint64(8) {
				p.Submit(start, jobOf("e", id, start))
				p.RecordFirstEvent(start, jobOf("e", id, start).ID, nil)
			}
			p.Decisions()
			if s.served {
				p.Finish(start, jobOf("d", 1, start).ID, planner.Served, planner.StreamStats{})
			}
			for id := range uint64(5) {
				w := jobOf("c", id, start+s.at)
				w.Objective = 5 * clock.Second
				p.Submit(start+s.at, w)
			}
			p.Tick(start + s.at)
			if got := grantedEntries(p.Decisions()); len(got) != s.want {
				t.Errorf("granted to %v, want %d", got, s.want)
			}
		})
	}
}
