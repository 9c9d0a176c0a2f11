package agent

import (
	"slices"
	"time"

	"quaydock/pkg/clock"
)

// maxKeptBytes limits the memory of finished answers that are kept for entries which lost their connection near
// the end.
const maxKeptBytes = 16 << 20

// keptOverhead is the memory in bytes that a kept answer is taken to hold beside its body: header, log and bookkeeping.
const keptOverhead = 2 << 10

// keptAnswer is a finished answer that is kept for a while.
type keptAnswer struct {
	execution *execution
	size      int64        // in bytes, with keptOverhead
	until     clock.Millis // when it is dropped, unless it is still needed then
}

// keep stores a finished answer for a resume, and drops others above the limit.
func (a *Agent) keep(e *execution) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := keptAnswer{execution: e, size: e.answer.memory() + keptOverhead, until: a.Clock.Now() + a.settings.ResumeWaitMS}
	a.finished = append(a.finished, k)
	a.keptSize += k.size
	a.dropAboveLimit()
	if !a.dropScheduled {
		a.dropScheduled = true
		time.AfterFunc(a.settings.ResumeWaitMS.Duration(), a.dropExpired)
	}
}

// dropAboveLimit drops finished answers above the memory limit, except those that are being read, whose memory
// their readers hold anyway. Answers whose end no entry has received are dropped last: an entry may be about to
// resume them. At least one answer is kept, however large it is. The lock must be held.
func (a *Agent) dropAboveLimit() {
	for a.keptSize > maxKeptBytes && len(a.finished) > 1 {
		i := slices.IndexFunc(a.finished, func(k keptAnswer) bool { return !k.execution.answer.hasReader() && !k.execution.answer.undelivered() })
		if i < 0 {
			i = slices.IndexFunc(a.finished, func(k keptAnswer) bool { return !k.execution.answer.hasReader() })
		}
		if i < 0 {
			return
		}
		a.drop(i)
	}
}

// dropExpired drops the answers whose time is over, and schedules itself for the rest. An answer that is still needed
// gets a new time instead.
func (a *Agent) dropExpired() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	for len(a.finished) > 0 && a.finished[0].until <= now {
		oldest := a.finished[0]
		until := a.neededUntil(now, oldest.execution)
		a.drop(0)
		if until > now {
			a.executions[oldest.execution.grant] = oldest.execution
			a.finished = append(a.finished, keptAnswer{execution: oldest.execution, size: oldest.size, until: until})
			a.keptSize += oldest.size
		}
	}
	a.dropScheduled = len(a.finished) > 0 && a.ctx.Err() == nil
	if a.dropScheduled {
		wait := max(a.finished[0].until-now, clock.Millisecond)
		time.AfterFunc(wait.Duration(), a.dropExpired)
	}
}

// hasUndelivered reports whether an entry has yet to receive the end of an answer. The lock must be held.
func (a *Agent) hasUndelivered() bool {
	for _, e := range a.executions {
		if e.answer.undelivered() {
			return true
		}
	}
	return false
}

// neededUntil returns until when an answer may still be requested. The time begins when its last reader has left,
// since a slow reader takes it long after the target has finished it, or when an entry last asked for it. The lock
// must be held.
func (a *Agent) neededUntil(now clock.Millis, e *execution) clock.Millis {
	if e.answer.hasReader() {
		return now + a.settings.ResumeWaitMS
	}
	return e.neededAt + a.settings.ResumeWaitMS
}

// drop removes the finished answer at index i, which can no longer be resumed. The lock must be held.
func (a *Agent) drop(i int) {
	k := a.finished[i]
	if i == 0 {
		a.finished[0] = keptAnswer{}
		a.finished = a.finished[1:]
	} else {
		a.finished = slices.Delete(a.finished, i, i+1)
	}
	a.keptSize -= k.size
	delete(a.executions, k.execution.grant)
}
