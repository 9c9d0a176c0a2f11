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
	class  int
	at     clock.Millis
	tokens int
	entry  int
	family int // -1 without one
}

// arrivals draws the requests of a scenario: Poisson in time, exponential in
// length. The same seed gives the same requests under every policy.
func arrivals(s *Scenario, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	perMilli := s.arrivalsPerSecond() / float64(clock.Second)
	var list []arrival
	for at := 0.0; at < float64(s.DurationMS); at += random.ExpFloat64() / perMilli {
		class := draw(random, s.Classes)
		tokens := 1 + int(math.Round(random.ExpFloat64()*(s.Classes[class].Tokens-1)))
		list = append(list, arrival{class: class, at: clock.Millis(at), tokens: tokens, entry: random.IntN(s.Entries), family: family(random, &s.Classes[class])})
	}
	return list
}

// family draws which of its class's shared texts a prompt begins with.
func family(random *rand.Rand, c *Class) int {
	if c.Families == 0 {
		return -1
	}
	return random.IntN(c.Families)
}

// prompt makes the text of the i-th request.
func (a *arrival) prompt(i int, c *Class) string {
	if a.family < 0 {
		return fmt.Sprint("request ", i, " ") + strings.Repeat("x", c.PromptBytes)
	}
	shared := strings.Repeat(fmt.Sprintf("%s text %d. ", c.Tier, a.family), 1+c.SharedBytes/len("text 1. "))[:c.SharedBytes]
	return shared + fmt.Sprint(" request ", i, " ") + strings.Repeat("x", c.PromptBytes-c.SharedBytes)
}

// draw picks a class by its share.
func draw(random *rand.Rand, classes []Class) int {
	total := 0.0
	for _, c := range classes {
		total += c.Share
	}
	left := random.Float64() * total
	for i, c := range classes {
		left -= c.Share
		if left < 0 {
			return i
		}
	}
	return len(classes) - 1
}
