package slowdown

import "quaydock/pkg/clock"

// Persistence learns for how long the factors that targets report persist, and their mean over time, from pairs of
// successive reports of one target. The zero value assumes defaultConstant, and a mean of Usual.
type Persistence struct {
	exposure float64 // ms that reported factors other than Usual were observed for, newer ones with more weight
	ends     float64 // how often they fell back to Usual meanwhile, with the same weights
	observed float64 // ms between all pairs, newer ones with more weight
	total    float64 // integral of the factor over that time
}

const (
	// defaultConstant is the time in ms in which a factor is assumed to fall back to the mean before any observation, and
	// defaultEnds the number of observed ends that it counts for: targets change several times a second.
	defaultConstant = 300.0
	defaultEnds     = 5.0
	// minConstant and maxConstant limit the time constant. Below the time between two reports of a busy target nothing
	// can be learned, and above maxAge nothing is believed.
	minConstant = 50.0
	maxConstant = float64(maxAge)
	// persistenceDecay is the factor by which each pair reduces the weight of the earlier ones.
	persistenceDecay = 0.998
	// meanDecay is the same for the mean, which many targets have to contribute to.
	meanDecay = 0.9998
	// meanPrior is the time in ms for which the factor is assumed to have been Usual before any observation.
	meanPrior = 2000.0
	// learnFrom is the least difference to Usual from which a report shows whether it persists.
	learnFrom = 0.15
	// maxGap is the longest time between two reports that are compared: after a longer one the factor may have changed
	// more than once.
	maxGap = 300 * clock.Millisecond
)

// learn adds a pair of reports of one target, with the time between them.
func (p *Persistence) learn(gap clock.Millis, before, after Factor) {
	if gap <= 0 || gap > maxGap {
		return
	}
	const half = 0.5
	p.observed = p.observed*meanDecay + float64(gap)
	p.total = p.total*meanDecay + half*float64(gap)*float64(before+after)
	excess := float64(before - Usual)
	if excess < learnFrom && excess > -learnFrom {
		return
	}
	kept := min(1, max(0, float64(after-Usual)/excess))
	p.exposure = p.exposure*persistenceDecay + half*float64(gap)*(1+kept)
	p.ends = p.ends*persistenceDecay + 1 - kept
}

// mean returns the mean factor of the targets, which is what one will have that has not reported lately.
func (p *Persistence) mean() Factor {
	return Factor((p.total + meanPrior*float64(Usual)) / (p.observed + meanPrior))
}

// constant returns the time in ms in which the difference of a factor to the mean falls to 1/e.
func (p *Persistence) constant() float64 {
	constant := (p.exposure + defaultConstant*defaultEnds) / (p.ends + defaultEnds)
	return min(maxConstant, max(minConstant, constant))
}
