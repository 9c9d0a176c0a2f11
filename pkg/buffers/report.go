package buffers

import (
	"cmp"
	"maps"
	"slices"

	"quaydock/pkg/clock"
)

// Report shows operators what an account holds.
type Report struct {
	Held   Usage  `json:"held"`
	Limits Limits `json:"limits"`
	// Slowest are the slowest readers, in the order in which they would be broken off now, up to maxReported.
	Slowest []ReaderState `json:"slowest"`
}

// maxReported limits the readers that a Report names: an entry may have thousands.
const maxReported = 5

// Report returns the state of the account.
func (a *Account) Report(now clock.Millis) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	waiting := slices.SortedFunc(maps.Keys(a.waiting), func(x, y *Reader) int { return cmp.Compare(y.slowness(now), x.slowness(now)) })
	r := Report{Held: a.usage(), Limits: a.limits, Slowest: []ReaderState{}}
	for _, reader := range waiting[:min(len(waiting), maxReported)] {
		r.Slowest = append(r.Slowest, reader.state(now))
	}
	return r
}
