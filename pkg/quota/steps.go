package quota

import "quaydock/pkg/clock"

// steps counts amounts in the last steps of a window. A step is numbered by its start divided by its length.
type steps struct {
	amounts []float64    // a ring: the amount of step n is at n modulo its length
	length  clock.Millis // of a step; 0 before the first use
	newest  clock.Millis // the number of the newest step, not a time
	placing placing
}

// placing tells when the amount of a step counts as added once steps have another length.
type placing int

const (
	atEnd   placing = iota // sums are never too low
	atStart                // sums are never too high
)

// advance makes the step of now the newest, and drops those that are too old.
func (s *steps) advance(now, length clock.Millis) {
	if s.length != length {
		s.setLength(now, length)
		return
	}
	n := clock.Millis(len(s.amounts))
	newest := now / length
	if newest-s.newest >= n {
		clear(s.amounts)
		s.newest = newest
		return
	}
	for s.newest < newest {
		s.newest++
		s.amounts[s.newest%n] = 0
	}
}

// setLength moves the amounts to steps of another length.
func (s *steps) setLength(now, length clock.Millis) {
	old := *s
	s.amounts, s.length, s.newest = make([]float64, len(old.amounts)), length, now/length
	if old.length == 0 {
		return
	}
	for number := old.newest; number >= 0 && number > old.newest-clock.Millis(len(old.amounts)); number-- {
		added := number * old.length
		if s.placing == atEnd {
			added = min(now, added+old.length-1)
		}
		if amount := s.at(added); amount != nil {
			*amount += *old.at(number * old.length)
		}
	}
}

// at returns the amount of the step that holds a time, or nil if it is not or no longer counted.
func (s *steps) at(t clock.Millis) *float64 {
	if s.length == 0 {
		return nil
	}
	n := clock.Millis(len(s.amounts))
	number := t / s.length
	if number > s.newest || number <= s.newest-n {
		return nil
	}
	return &s.amounts[number%n]
}

// addNow adds an amount to the newest step.
func (s *steps) addNow(amount float64) {
	s.amounts[s.newest%clock.Millis(len(s.amounts))] += amount
}

// sum returns the amount of all steps.
func (s *steps) sum() float64 {
	total := 0.0
	for _, amount := range s.amounts {
		total += amount
	}
	return total
}
