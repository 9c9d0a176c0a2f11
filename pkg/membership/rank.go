package membership

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"quaydock/pkg/ids"
)

// topRanked returns the entry with the highest score for a shard, of equals the last one in among, which must not be
// empty. The lock is held.
func (m *Members) topRanked(shard string, among []ids.Process) ids.Process {
	best, highest := among[0], math.Inf(-1)
	for _, name := range among {
		if score := m.score(name, shard); score >= highest {
			best, highest = name, score
		}
	}
	return best
}

// score returns an entry's score for a shard by weighted rendezvous hashing: entries own shards in proportion to
// their (squared) weight, and when one goes only its own shards move. The lock is held.
func (m *Members) score(name ids.Process, shard string) float64 {
	weight := m.weightOf(name)
	const steps = 1 << 53
	// The upper 53 bits of the hash are as many as a float64 holds exactly.
	draw := (float64(xxhash.Sum64String(string(name)+"\x00"+shard)>>11) + 1) / (steps + 1) // within (0, 1)
	// Squared, since a weak VM should mostly be left to its callers' requests.
	return -weight * weight / math.Log(draw)
}

// weightOf returns the weight of a listed entry. Any other name is taken for this entry, which may not be listed yet.
// The lock is held.
func (m *Members) weightOf(name ids.Process) float64 {
	if listed := m.list[name]; listed != nil {
		return listed.weight
	}
	return m.weight
}
