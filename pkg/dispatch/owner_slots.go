package dispatch

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/planner"
)

// maxLoggedLimits is the largest number of targets with unused slots in one line.
const maxLoggedLimits = 10

// slotFields returns what a planner's line tells of slots: how many are used at most, which targets do not use all of
// theirs, and the times of calls that decide it.
func slotFields(s *planner.Summary) logrus.Fields {
	limits := make(map[string]string)
	for _, u := range s.Limits[:min(len(s.Limits), maxLoggedLimits)] {
		limits[string(u.Target)] = fmt.Sprintf("%d of %d usable, %d running: %s", u.Usable, u.Slots, u.Running, u.Limit)
	}
	levels := make([]string, 0, len(s.CallTimes))
	for _, l := range s.CallTimes {
		levels = append(levels, fmt.Sprintf("%d/8: mean %.1f ms, n %.0f, age %d ms", l.Eighths, l.Mean, l.Observations, l.Age))
	}
	return logrus.Fields{
		"slots_usable": s.Usable, "targets_with_unused_slots": len(s.Limits), "unused_slots": limits, "call_times": levels,
		"refusals_with_free_slots": s.RefusalsWhileFree,
	}
}

// logFreeSlots logs the refusal of a request while half of the slots or more ran nothing.
func (owner *Owner) logFreeSlots(d *planner.Refusal) {
	f := d.WhileFree
	if f == nil || !owner.sampler.Allow("free_slots") {
		return
	}
	owner.Log.WithFields(logrus.Fields{
		"entry": d.ID.Entry, "number": d.ID.Number, "slots": f.Slots, "free": f.Free, "usable": f.Usable, "ahead": d.Ahead, "wait_ms": int64(d.Wait),
	}).Info("refused a request while half of the slots or more ran nothing")
}
