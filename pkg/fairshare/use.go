package fairshare

import (
	"math"

	"quaydock/pkg/clock"
)

// decayingUse is the mean number of places held, in which recent time counts more.
type decayingUse struct {
	mean float64
	at   clock.Millis // up to when the mean is known
}

// advance extends the mean to a time up to which so many places were held. Observation has begun at start: what was
// held before is not known, and the mean is that over the time since then. The factor kept is by how much earlier time
// counts less than before.
func (u *decayingUse) advance(start, now clock.Millis, kept float64, held int) {
	kept *= observed(u.at-start) / observed(now-start)
	u.mean = kept*u.mean + (1-kept)*float64(held)
	u.at = now
}

// observed returns the total weight of an observed time, 1 for an infinite one.
func observed(since clock.Millis) float64 {
	return 1 - math.Exp(-float64(since)/float64(useWindow))
}
