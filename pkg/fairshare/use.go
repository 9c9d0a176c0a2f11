package fairshare

import "quaydock/pkg/clock"

// decayingUse is the mean number of places held, in which recent time counts more.
type decayingUse struct {
	mean float64
	at   clock.Millis // up to when the mean is known
}

// observation is what is known of the time for which the accounts of a tier have been observed.
type observation struct {
	decay Decay // of what accounts have held and asked for
	// start is when the observation began: what accounts held before is not known. earlier and later are the decay from
	// then on to the ends of the last step.
	start          clock.Millis
	earlier, later Decay
}

func newObservation(start clock.Millis) observation {
	return observation{decay: NewDecay(useWindow), start: start, earlier: NewDecay(useWindow), later: NewDecay(useWindow)}
}

// weight returns the weight of the mean up to a time in that up to a later one. It is the mean over the time since the
// start, which at first is short.
func (o *observation) weight(from, to clock.Millis) float64 {
	return o.decay.Factor(from, to) * (1 - o.earlier.Factor(o.start, from)) / (1 - o.later.Factor(o.start, to))
}

// advance extends the mean to a later time up to which so many places were held.
func (u *decayingUse) advance(o *observation, now clock.Millis, held int) {
	weight := o.weight(u.at, now)
	u.mean = weight*u.mean + (1-weight)*float64(held)
	u.at = now
}
