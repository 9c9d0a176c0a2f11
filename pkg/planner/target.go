package planner

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/ratelimit"
	"quaydock/pkg/routing"
)

// target is what the planner knows of one target.
type target struct {
	*routing.Target
	lives   *lives // all of the same id, this one included
	offered bool   // it may get new work
	runs    map[JobID]*run
	reading ids.Tokens // prompts of runs that have not begun
	factor  factor
	health  Health
	beganAt clock.Millis // when a run last began
	trial   bool         // after it was set aside, one request at a time
	foreign foreign
	tried   int                     // how often it was filled while its version was on trial
	leaving bool                    // by its own word
	cold    *bucket                 // nil while it is warm
	takes   ratelimit.Report        // how many jobs a second, by its own word
	limited *bucket                 // nil while it names no limit
	rests   map[string]clock.Millis // until when it wants nothing of an entry, or has served it nothing since
}

// lives are the lives of one target that have runs, or may get them. A target that has started
// again gets no more than its slots over all of them: until the entries have told the end
// of the runs of its former life, some of these may in truth have reached the new one.
type lives struct {
	runs   int     // over all of them
	listed *target // the one that was offered last, as long as it is known
	known  int     // how many of them are in Planner.targets
}

// run is a granted job.
type run struct {
	Job
	target  *target
	since   clock.Millis
	begun   bool
	moved   bool // it was told to go elsewhere
	trial   bool // its target was on trial
	counted bool // by the limit of its target
	beganAt clock.Millis
	ahead   ids.Tokens // prompt tokens to be read up to its first event
	beside  int        // runs on the target when it was granted, itself included
	// backlog is the most prompt tokens that were to be read at once while its
	// stream ran.
	backlog ids.Tokens
}

const (
	// stuckFloor and stuckTimes are after what time a run that has not begun
	// counts as stuck: the floor, and so many times the expected time.
	stuckFloor = 250 * clock.Millisecond
	stuckTimes = 8
)

// room reports whether a target can take a job now. If careful, one that was set
// aside gets one job at a time until it has served one; where most targets fail,
// that would leave nearly nothing of what they can do.
func (t *target) room(now clock.Millis, careful bool) bool {
	if !t.offered || t.leaving || t.lives.runs+t.foreign.at(now) >= t.limit() {
		return false
	}
	return !careful || !t.trial || len(t.runs) == 0
}

func (t *target) limit() int {
	return max(1, t.Slots)
}

func (t *target) start(now clock.Millis, job Job) *run {
	t.reading += job.Prompt
	for _, other := range t.runs {
		if other.begun {
			other.backlog = max(other.backlog, t.reading)
		}
	}
	r := &run{Job: job, target: t, since: now, ahead: t.reading, beside: len(t.runs) + 1}
	t.runs[job.ID] = r
	t.lives.runs++
	return r
}

func (t *target) begin(now clock.Millis, r *run) {
	r.begun = true
	r.beganAt = now
	t.reading -= r.Prompt
	r.backlog = t.reading
	t.beganAt = now
}

func (t *target) end(r *run) {
	if !r.begun {
		t.reading -= r.Prompt
	}
	delete(t.runs, r.ID)
	t.lives.runs--
}

// foreign is the load of a target that did not come through this planner, as
// from entries that are cut off and plan by themselves.
type foreign struct {
	smooth float64
	told   clock.Millis
}

const (
	// foreignGain is the weight of the newest report: what is under way between
	// entry and target makes single ones wrong by a few.
	foreignGain = 0.3
	// foreignFor is for how long a report counts.
	foreignFor = 2 * clock.Second
)

func (f *foreign) learn(now clock.Millis, n int) {
	if now-f.told > foreignFor {
		f.smooth = 0
	}
	f.smooth += foreignGain * (float64(max(0, n)) - f.smooth)
	f.told = now
}

func (f *foreign) at(now clock.Millis) int {
	if now-f.told > foreignFor {
		return 0
	}
	return int(f.smooth + 0.5)
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
