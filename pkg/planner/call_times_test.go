package planner_test

import (
	"math/rand/v2"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/planner"
)

const (
	loopCallers = 24
	loopLength  = 20 * clock.Second
	// loopPause is the time between two events of a stream, which has loopEvents of them, the first one after
	// loopFirstEvent. A call takes loopCall. A few ms of chance are added.
	loopPause      = 15 * clock.Millisecond
	loopEvents     = 12
	loopFirstEvent = 2 * clock.Millisecond
	loopCall       = 16 * clock.Millisecond
	// loopWarmUp is for how long requests that begin take loopSlower more, as on targets that have just started.
	loopWarmUp = 500 * clock.Millisecond
	loopSlower = 100 * clock.Millisecond
)

// closedLoop has callers that keep all targets full: each sends one request after another, calls and streams that declare
// neither prompt nor events.
type closedLoop struct {
	planner  *planner.Planner
	random   *rand.Rand
	streams  int // of a hundred requests
	callers  [loopCallers]loopCaller
	byNumber map[uint64]*loopCaller
	sent     uint64
}

// loopCaller is a caller with its present request.
type loopCaller struct {
	id            planner.JobID
	stream, begun bool
	waits         bool         // for a grant or a refusal
	next          clock.Millis // when it sends the next request, if it has none
	begins, ends  clock.Millis // first event and end of the present one, 0 if it has none that runs
}

// millis draws a time below so many ms.
func (l *closedLoop) millis(below int) clock.Millis { return clock.Millis(l.random.IntN(below)) }

// play sends requests for loopLength.
func (l *closedLoop) play() {
	for now := start; now < start+loopLength; now++ {
		for i := range l.callers {
			l.step(now, &l.callers[i])
		}
		l.planner.Tick(now)
		for _, d := range l.planner.Decisions() {
			switch d := d.(type) {
			case planner.Grant:
				l.begin(now, l.byNumber[d.ID.Number])
			case planner.Refusal:
				*l.byNumber[d.ID.Number] = loopCaller{next: now + l.millis(10)}
			}
		}
	}
}

// step lets a caller do what it does at a moment.
func (l *closedLoop) step(now clock.Millis, c *loopCaller) {
	switch {
	case c.waits:
	case c.ends == 0 && now >= c.next:
		l.sent++
		j := job(l.sent, 0)
		j.Prompt, j.Events, j.Arrived, j.Deadline = 0, 0, now, now+4*clock.Second
		*c = loopCaller{id: j.ID, stream: l.random.IntN(100) < l.streams, waits: true}
		l.byNumber[l.sent] = c
		l.planner.Submit(now, j)
	case c.ends > 0 && !c.begun && now >= c.begins:
		c.begun = true
		l.planner.RecordFirstEvent(now, c.id, nil)
	case c.ends > 0 && now >= c.ends:
		flow := planner.StreamStats{}
		if c.stream {
			flow.Events = loopEvents
		}
		l.planner.Finish(now, c.id, planner.Served, flow)
		*c = loopCaller{next: now + l.millis(10)}
	}
}

// begin has a granted request run.
func (l *closedLoop) begin(now clock.Millis, c *loopCaller) {
	if now < start+loopWarmUp {
		now += loopSlower
	}
	c.waits = false
	c.begins = now + loopCall + l.millis(4)
	c.ends = c.begins + 1
	if c.stream {
		c.begins = now + loopFirstEvent + l.millis(4)
		c.ends = now + loopEvents*loopPause + l.millis(4)
	}
}

// TestEstimatesKeepTheirScale guards against factors of equal targets that all fall, and estimates that rise in return.
// Estimates may be wrong by a factor of two, which the planner allows for; a factor also differs by what its target got.
func TestEstimatesKeepTheirScale(t *testing.T) {
	const slots = 4
	for _, streams := range []int{50, 0} {
		for seed := range uint64(8) {
			l := closedLoop{planner: newPlanner(slots, slots, slots, slots), random: rand.New(rand.NewPCG(seed, 1)), streams: streams, byNumber: make(map[uint64]*loopCaller)}
			l.play()
			s := l.planner.Summary(start + loopLength)
			for id, f := range s.Factors {
				if f < 0.25 || f > 4 {
					t.Errorf("%d streams in a hundred, seed %d: target %s has the factor %.2f, want about 1", streams, seed, id, f)
				}
			}
			if got := s.IntervalBase + slots*s.IntervalPerRun; streams > 0 && (got < 0.5*float64(loopPause) || got > 2*float64(loopPause)) {
				t.Errorf("seed %d: %.1f ms expected between events on a full target, want about %d", seed, got, loopPause)
			}
		}
	}
}
