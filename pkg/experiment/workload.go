package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"quaydock/pkg/clock"
)

// arrival is one request of a workload.
type arrival struct {
	class     int          // index in Scenario.Classes
	at        clock.Millis // since the start of the workload
	tokens    int          // length of the answer
	entry     int          // index of the entry that it is sent to
	textIndex int          // index of the shared text that the prompt begins with; -1 if none
}

// arrivals draws the requests of a scenario: a Poisson process in time, with exponentially distributed answer
// lengths. The same seed gives the same requests under every policy.
func arrivals(s *Scenario, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	perMillisecond := s.arrivalsPerSecond() / float64(clock.Second)
	var list []arrival
	for at := 0.0; at < float64(s.DurationMS); at += random.ExpFloat64() / perMillisecond {
		class := drawClass(random, s.Classes)
		tokens := 1 + int(math.Round(random.ExpFloat64()*(s.Classes[class].Tokens-1)))
		list = append(list, arrival{class: class, at: clock.Millis(at), tokens: tokens, entry: random.IntN(s.Entries), textIndex: drawSharedText(random, &s.Classes[class])})
	}
	return list
}

// drawSharedText draws the index of the class's shared text that a prompt begins with, -1 if the class has none.
func drawSharedText(random *rand.Rand, c *Class) int {
	if c.SharedTexts == 0 {
		return -1
	}
	return random.IntN(c.SharedTexts)
}

// prompt returns the prompt of the i-th request. Its number makes it differ from all others, after the shared text if
// there is one.
func (a *arrival) prompt(i int, c *Class) string {
	if a.textIndex < 0 {
		return fmt.Sprint("request ", i, " ") + strings.Repeat("x", c.PromptBytes)
	}
	shared := strings.Repeat(fmt.Sprintf("%s text %d. ", c.Tier, a.textIndex), 1+c.SharedBytes/len("text 1. "))[:c.SharedBytes]
	return shared + fmt.Sprint(" request ", i, " ") + strings.Repeat("x", c.PromptBytes-c.SharedBytes)
}

// drawClass draws the index of a class with probability proportional to its fraction.
func drawClass(random *rand.Rand, classes []Class) int {
	total := 0.0
	for _, c := range classes {
		total += c.Fraction
	}
	remaining := random.Float64() * total
	for i, c := range classes {
		remaining -= c.Fraction
		if remaining < 0 {
			return i
		}
	}
	return len(classes) - 1
}
