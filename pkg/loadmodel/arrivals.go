package loadmodel

import (
	"math"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// drawAll draws the first tries of all kinds.
func (p *play) drawAll() {
	for i := range p.load.Kinds {
		p.draw(&p.load.Kinds[i])
	}
}

// draw draws the first tries of a kind, at random moments.
func (p *play) draw(k *Kind) {
	most := k.PerSecond
	for _, b := range p.load.Bursts {
		most *= max(1, b.Times)
	}
	if most <= 0 {
		return
	}
	for at := 0.0; ; {
		at += p.random.ExpFloat64() / most * float64(clock.Second)
		moment := clock.Millis(at)
		if moment >= p.load.Length {
			return
		}
		if p.random.Float64()*most > k.PerSecond*p.load.times(moment, k.Name) {
			continue
		}
		size := math.Exp(k.Spread * p.random.NormFloat64())
		c := &caller{
			kind: k, first: start + moment, size: size,
			prompt: ids.Tokens(float64(k.Prompt) * size), events: max(1, int(float64(k.Events)*size)),
		}
		if k.Events == 0 {
			c.events = 0
		}
		p.callers = append(p.callers, c)
	}
}
