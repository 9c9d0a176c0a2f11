package planner

import (
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// target is what the planner knows of one target.
type target struct {
	*routing.Target
	offered bool // it may get new work
	runs    map[JobID]*run
	reading ids.Tokens // prompts of runs that have not begun
	factor  factor
	health  Health
	beganAt clock.Millis // when a run last began
	trial   bool         // after it was set aside, one request at a time
}

// run is a granted job.
type run struct {
	Job
	target  *target
	since   clock.Millis
	begun   bool
	beganAt clock.Millis
	ahead   ids.Tokens // prompt tokens to be read up to its first event
	beside  int        // runs on the target when it was granted, itself included
}

const (
	// stuckFloor and stuckTimes are after what time a run that has not begun
	// counts as stuck: the floor, and so many times the expected time.
	stuckFloor = 500 * clock.Millisecond
	stuckTimes = 5
)

// room reports whether a target can take a job now.
func (t *target) room(job *Job) bool {
	if !t.offered || len(t.runs) >= t.limit() || slices.Contains(job.Exclude, t.ID) {
		return false
	}
	return !t.trial || len(t.runs) == 0
}

func (t *target) limit() int {
	return max(1, t.Slots)
}

func (t *target) start(now clock.Millis, job Job) *run {
	t.reading += job.Prompt
	r := &run{Job: job, target: t, since: now, ahead: t.reading, beside: len(t.runs) + 1}
	t.runs[job.ID] = r
	return r
}

func (t *target) begin(now clock.Millis, r *run) {
	r.begun = true
	r.beganAt = now
	t.reading -= r.Prompt
	t.beganAt = now
}

func (t *target) end(r *run) {
	if !r.begun {
		t.reading -= r.Prompt
	}
	delete(t.runs, r.ID)
}

// stuck reports whether a run waits for its first event far beyond what was
// expected while nothing else has begun since.
func (t *target) stuck(now clock.Millis, s *speeds) bool {
	for _, r := range t.runs {
		expected := clock.Millis(t.factor.get() * s.firstTime(r.ahead))
		if !r.begun && t.beganAt < r.since && now-r.since > max(stuckFloor, stuckTimes*expected) {
			return true
		}
	}
	return false
}
