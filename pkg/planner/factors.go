package planner

// centerFactors divides the known factors of the targets by their mean. Factors are learned from times divided by
// estimates, and estimates from times divided by factors: if an estimate is too high at first, the factors fall, these
// raise the other estimates, and so on, until the factors reach their limit and targets of different speeds seem alike. It
// answers services with streams; without any, one estimate is all that the factors are used with.
func (p *Planner) centerFactors() {
	if p.timings.interval.n == 0 {
		return
	}
	sum, known := 0.0, 0.0
	for _, t := range p.eligible {
		if t.factor.known {
			sum += t.factor.value
			known++
		}
	}
	if known == 0 {
		return
	}
	mean := sum / known
	for _, t := range p.eligible {
		t.factor.value /= mean
	}
}
