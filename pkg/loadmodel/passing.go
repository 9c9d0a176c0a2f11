package loadmodel

import (
	"math/rand/v2"

	"quaydock/pkg/clock"
	"quaydock/pkg/planner"
	"quaydock/pkg/slowdown"
)

// crowding returns by how much the number of running requests slows first events.
func (t *target) crowding() float64 {
	const half = 0.5
	fill := float64(len(t.running)) / float64(t.Slots)
	if t.crowded <= 1 || fill <= half {
		return 1
	}
	return 1 + (t.crowded-1)*(fill-half)/half
}

// slowdown returns how many times as long as usual work takes at a target at a time.
func (s *simulation) slowdown(now clock.Millis, t *target) float64 {
	passing := s.load.Passing
	if passing == nil {
		return 1
	}
	period := uint64((now + clock.Millis(t.number)*passing.For/8) / passing.For)
	if rand.New(rand.NewPCG(s.load.Seed+t.number<<32, period)).Float64() < passing.Fraction {
		return passing.Factor
	}
	return 1
}

// workEnd returns when a target has done work that takes it so many ms while it is not slowed.
func (s *simulation) workEnd(now clock.Millis, t *target, work float64) clock.Millis {
	if s.load.Passing == nil {
		return now + clock.Millis(work)
	}
	const step = clock.Millis(5)
	for work > 0 {
		done := float64(step) / s.slowdown(now, t)
		if done >= work {
			return now + max(1, clock.Millis(work/done*float64(step)))
		}
		work -= done
		now += step
	}
	return now
}

// loadReport returns the report that arrives with a first event, nil if there is none.
func (s *simulation) loadReport(now clock.Millis, t *target) *planner.Load {
	passing := s.load.Passing
	if passing == nil || !passing.Reported || s.random.Float64() < passing.Lost {
		return nil
	}
	at := now - clock.Millis(s.random.Float64()*float64(passing.Delay))
	load := &planner.Load{Running: len(t.running), Slowdown: slowdown.Factor(s.slowdown(at, t))}
	if s.observer.Reported != nil {
		s.observer.Reported(s.planner, t.ID, load.Slowdown)
	}
	return load
}
