package slowdown

import "quaydock/pkg/clock"

// Persistence learns for how long targets stay slower than they are in the mean, from pairs of successive reports of one
// target. The zero value assumes defaultConstant.
type Persistence struct {
	exposure float64 // ms for which targets were observed slower than in the mean, newer ones with more weight
	ends     float64 // how often they fell back meanwhile, with the same weights
}

const (
	// defaultConstant is the time in ms in which a factor is assumed to fall back to the target's mean before any
	// observation, and defaultEnds the number of observed ends that it counts for: targets change several times a second.
	defaultConstant = 300.0
	defaultEnds     = 5.0
	// minConstant and maxConstant limit the time constant. Below the time between two reports of a busy target nothing
	// can be learned, and above maxAge nothing is believed.
	minConstant = 50.0
	maxConstant = float64(maxAge)
	// persistenceDecay is the factor by which each pair reduces the weight of the earlier ones.
	persistenceDecay = 0.998
	// learnFrom is the least excess, as a fraction of the target's mean, from which a report shows whether it persists.
	learnFrom = 0.3
	// maxGap is the longest time between two reports that are compared: after a longer one the factor may have changed
	// more than once.
	maxGap = 300 * clock.Millisecond
)

// learn adds a pair of reports of one target of a mean, with the time between them.
func (p *Persistence) learn(gap clock.Millis, before, after, mean Factor) {
	if gap <= 0 || gap > maxGap {
		return
	}
	excess := float64(before - mean)
	if excess < learnFrom*float64(mean) {
		return
	}
	kept := min(1, max(0, float64(after-mean)/excess))
	const half = 0.5
	p.exposure = p.exposure*persistenceDecay + half*float64(gap)*(1+kept)
	p.ends = p.ends*persistenceDecay + 1 - kept
}

// constant returns the time in ms in which the excess of a factor over the target's mean falls to 1/e.
func (p *Persistence) constant() float64 {
	constant := (p.exposure + defaultConstant*defaultEnds) / (p.ends + defaultEnds)
	return min(maxConstant, max(minConstant, constant))
}
