package dispatch

import "quaydock/pkg/clock"

// maxStalledDivisor sets the fraction of a request's time, one in maxStalledDivisor, up to which its duration is known
// although processes were stalled.
const maxStalledDivisor = 2

// notCharged returns how much of the time that a request took is not charged to its target, given for how long the entry
// or the owner was stalled meanwhile. How much of that delayed its end is not known: it may have ended at any moment of
// the last stall, and an earlier one delayed nothing. Beyond the fraction all of its time is left out, so that its
// duration counts as unknown: taken for a short one, it would make ordinary answers of its target look slow.
func notCharged(took, stalled clock.Millis) clock.Millis {
	if stalled > took/maxStalledDivisor {
		return took
	}
	return stalled
}
