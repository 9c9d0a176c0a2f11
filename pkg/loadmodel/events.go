package loadmodel

import (
	"container/heap"

	"quaydock/pkg/clock"
)

// event is an action at a time of the simulation.
type event struct {
	at     clock.Millis
	number int // keeps events of the same time in the order in which they were added
	do     func(now clock.Millis)
}

// events is a heap (container/heap) of the actions still to come, the earliest first.
type events []event

func (e events) Len() int { return len(e) }

// Less orders events by time, and those of the same time as they were added.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push and Pop are for container/heap only: they add and remove the last element and keep no order.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// schedule schedules do for a time of the simulation, at which it is called with that time.
func (s *simulation) schedule(moment clock.Millis, do func(now clock.Millis)) {
	s.scheduled++
	heap.Push(&s.events, event{moment, s.scheduled, do})
}
