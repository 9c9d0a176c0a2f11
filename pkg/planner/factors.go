package planner

const (
	// lowestMeanFactor and highestMeanFactor are the bounds of the mean of the targets' factors: targets of a service differ in
	// speed by a few times, and within these bounds their factors stay clear of factorMin and factorMax.
	lowestMeanFactor  = 0.5
	highestMeanFactor = 2.0
)

// centerFactors divides the known factors of the targets by their mean once that has drifted far from one. Factors are
// learned from times divided by estimates, and estimates from times divided by factors: if an estimate is too high at
// first, the factors fall, these raise the other estimates, and so on, until the factors reach their limit and targets of
// different speeds seem alike. The times of calls are multiplied by the mean: those of levels that are not used now would
// otherwise be of another scale than those to come.
func (p *Planner) centerFactors() {
	sum, known := 0.0, 0.0
	for _, t := range p.eligible {
		if t.factor.known {
			sum += t.factor.value
			known++
		}
	}
	mean := sum / max(1, known)
	if known == 0 || mean >= lowestMeanFactor && mean <= highestMeanFactor {
		return
	}
	for _, t := range p.eligible {
		t.factor.value /= mean
	}
	p.callTimes.scale(mean)
	p.callLimit.scale(mean)
}
