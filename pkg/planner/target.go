package planner

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/ratelimit"
	"quaydock/pkg/routing"
	"quaydock/pkg/slowdown"
)

// target is the planner's state of one incarnation of a target.
type target struct {
	*routing.Target
	incarnations   *incarnations // all incarnations of the same target id, this one included
	offered        bool          // it was in the last call of SetTargets
	runs           map[JobID]*run
	pendingPrompt  ids.Tokens // prompt tokens of runs without a first event
	factor         factor
	slowdown       slowdown.Estimate
	visitedSlowed  bool // as VisitSlownessChanges has last told
	health         Health
	lastFirstEvent clock.Millis // time of the most recent first event
	probing        bool         // was ejected and has served nothing since: gets one job at a time (see hasFreeSlot)
	externalLoad   externalLoad
	fillCount      int                     // how often it was chosen as trial.filling
	draining       bool                    // it has announced that it is shutting down
	endedAt        clock.Millis            // when an entry reported that the process has ended; 0 if none has
	coldBucket     *tokenBucket            // nil while the target is warm
	rateLimit      ratelimit.Report        // request rate limit that it reports
	limitBucket    *tokenBucket            // nil while it reports no limit
	backoffs       map[string]clock.Millis // by entry: end of the back-off it asked for; kept until it has served that entry again
	declines       map[string]clock.Millis // by entry: until when it is granted nothing here; see declineHold
}

// incarnations are the incarnations of one target that have runs or may get them. A restarted target gets no more
// jobs than its slots over all of them: until the entries have reported the end of the runs of its former
// incarnation, some of these may have reached the new one.
type incarnations struct {
	runs   int     // total over all incarnations
	listed *target // the one offered last, while it is known
	known  int     // number of them in Planner.targets
}

// run is a granted job.
type run struct {
	Job
	target        *target
	grantedAt     clock.Millis
	hasFirstEvent bool
	redispatched  bool         // a Move was emitted for it
	canary        bool         // its target was on trial when it was granted
	counted       bool         // counted against the limit that its target reports
	firstEventAt  clock.Millis // valid if hasFirstEvent is set
	promptAhead   ids.Tokens   // prompt tokens to be read before its first event, its own included
	concurrency   int          // runs on the target when it was granted, itself included
	// maxBacklog is the largest number of prompt tokens pending on the target since the run's first event.
	maxBacklog ids.Tokens
	// sampleAtGrant is the newest report of the target's slowdown when it was granted; totalAtGrant and totalAtFirstEvent
	// are the totals of that slowdown.
	sampleAtGrant                   slowdown.Sample
	totalAtGrant, totalAtFirstEvent float64
}

const (
	// A run without a first event counts as stuck after stuckRatio times the expected time to it, but not before
	// stuckMin.
	stuckMin   = 250 * clock.Millisecond
	stuckRatio = 8
)

// hasFreeSlot reports whether a target that may get new jobs has a free slot. Slots are taken by the runs of all its
// incarnations and by external load. With avoidFailing set, a target that was ejected gets one job at a time until it
// has served one; where most targets fail, this would leave hardly any of their capacity.
func (t *target) hasFreeSlot(now clock.Millis, avoidFailing bool) bool {
	if !t.offered || t.draining || t.incarnations.runs+t.externalLoad.current(now) >= t.capacity() {
		return false
	}
	return !avoidFailing || !t.probing || len(t.runs) == 0
}

// factorLifetime is the time without a first event after which the factor of a target may be out of date.
const factorLifetime = clock.Second

// factorOutdated reports whether the target runs nothing and has not answered for a while, so that it may be faster by now.
func (t *target) factorOutdated(now clock.Millis) bool {
	return len(t.runs) == 0 && now-t.lastFirstEvent > factorLifetime
}

// capacity returns how many jobs the target may run at once, 1 if it declares no slots.
func (t *target) capacity() int {
	return max(1, t.Slots)
}

// occupancy is what a target has to do when it gets a job.
type occupancy struct {
	pending  ids.Tokens // prompt tokens to be read before the job's prompt
	running  int        // requests that run there, the job included
	capacity int
}

// idle returns the occupancy of a target that has nothing else to do.
func idle() occupancy { return occupancy{running: 1, capacity: fillLevels} }

// occupancyWith returns the occupancy of a target that gets one more job.
func (t *target) occupancyWith() occupancy {
	return occupancy{pending: t.pendingPrompt, running: len(t.runs) + 1, capacity: t.capacity()}
}

// addRun records a job that is granted now as a run on the target. Until its first event its prompt delays the streams
// that the target already runs.
func (t *target) addRun(now clock.Millis, job Job) *run {
	t.pendingPrompt += job.Prompt
	for _, other := range t.runs {
		if other.hasFirstEvent {
			other.maxBacklog = max(other.maxBacklog, t.pendingPrompt)
		}
	}
	r := &run{
		Job: job, target: t, grantedAt: now, promptAhead: t.pendingPrompt, concurrency: len(t.runs) + 1,
		sampleAtGrant: t.slowdown.Sample(now), totalAtGrant: t.slowdown.Total(now),
	}
	t.runs[job.ID] = r
	t.incarnations.runs++
	return r
}

// recordFirstEvent takes the run's prompt off the pending ones. The prompts still pending delay its further events.
func (t *target) recordFirstEvent(now clock.Millis, r *run) {
	r.hasFirstEvent = true
	r.firstEventAt = now
	r.totalAtFirstEvent = t.slowdown.Total(now)
	t.pendingPrompt -= r.Prompt
	r.maxBacklog = t.pendingPrompt
	t.lastFirstEvent = now
}

// removeRun removes a run that has ended.
func (t *target) removeRun(r *run) {
	if !r.hasFirstEvent {
		t.pendingPrompt -= r.Prompt
	}
	delete(t.runs, r.ID)
	t.incarnations.runs--
}

// externalLoad is the number of requests at a target that did not come through this planner, as from entries that are
// partitioned from the others and place jobs by themselves.
type externalLoad struct {
	average    float64      // moving average of the reports
	reportedAt clock.Millis // time of the newest report
}

const (
	// externalLoadGain is the weight of the newest report: requests in transit make single reports wrong by a few.
	externalLoadGain = 0.3
	// externalLoadTTL is how long a report is used.
	externalLoadTTL = 2 * clock.Second
)

// update adds a report: n is the target's own count less this planner's runs there, and may be below 0.
func (l *externalLoad) update(now clock.Millis, n int) {
	if now-l.reportedAt > externalLoadTTL {
		l.average = 0
	}
	l.average += externalLoadGain * (float64(max(0, n)) - l.average)
	l.reportedAt = now
}

// current returns the rounded average, 0 if the newest report is too old.
func (l *externalLoad) current(now clock.Millis) int {
	if now-l.reportedAt > externalLoadTTL {
		return 0
	}
	return int(l.average + 0.5)
}

// stuck reports whether a run has waited for its first event far longer than expected, and no run of the target has had
// a first event since it was granted.
func (p *Planner) stuck(now clock.Millis, t *target) bool {
	for _, r := range t.runs {
		if r.hasFirstEvent || t.lastFirstEvent >= r.grantedAt || now-r.grantedAt <= stuckMin {
			continue
		}
		usual := p.firstEventTime(&r.Job, occupancy{pending: r.promptAhead - r.Prompt, running: len(t.runs), capacity: t.capacity()})
		expected := clock.Millis(max(t.factor.get()*float64(r.sampleAtGrant.Expected()), p.pace(now, t).current()) * usual)
		if now-r.grantedAt > stuckRatio*expected {
			return true
		}
	}
	return false
}

// endedRetention is for how long a target counts as ended that stays listed: its row is written anew, or expires, within
// this time.
const endedRetention = 10 * clock.Second

// mayGet reports whether a job may get the target. A job that may only get one version does not get a target whose process
// has ended: what answers there now may run another one.
func (t *target) mayGet(now clock.Millis, job *Job) bool {
	if job.Version != nil && t.endedAt > 0 && now-t.endedAt <= endedRetention {
		return false
	}
	return job.MayGet(t.Target)
}

// RecordEnd records that the process of a target has ended. It ignores an unknown target.
func (p *Planner) RecordEnd(now clock.Millis, at ids.TargetIncarnation) {
	if t := p.knownIncarnation(at); t != nil {
		t.endedAt = now
	}
}
