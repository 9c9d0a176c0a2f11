package prefix

import (
	"encoding/binary"
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"quaydock/pkg/ids"
)

// blocksPerTarget bounds what is remembered of one target.
const blocksPerTarget = 4096

// CacheEstimate remembers which blocks were lately sent to which target, the least
// used forgotten first, as in the target's own cache. Several goroutines may use
// it.
type CacheEstimate struct {
	mu      sync.Mutex
	targets map[ids.Target]*lru.Cache[Fingerprint, struct{}]
}

// NewCacheEstimate returns holdings that remember nothing.
func NewCacheEstimate() *CacheEstimate {
	return &CacheEstimate{targets: make(map[ids.Target]*lru.Cache[Fingerprint, struct{}])}
}

// Record remembers that a prompt was sent to a target.
func (h *CacheEstimate) Record(target ids.Target, chain []Fingerprint) {
	if len(chain) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	cache := h.targets[target]
	if cache == nil {
		// The size is above 0, so that there is no error.
		cache, _ = lru.New[Fingerprint, struct{}](blocksPerTarget)
		h.targets[target] = cache
	}
	for _, f := range chain {
		cache.Add(f, struct{}{})
	}
}

// CachedBlocks returns how many blocks at the beginning of a prompt the target is
// likely to hold.
func (h *CacheEstimate) CachedBlocks(target ids.Target, chain []Fingerprint) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	cache := h.targets[target]
	if cache == nil {
		return 0
	}
	for i, f := range chain {
		if !cache.Contains(f) {
			return i
		}
	}
	return len(chain)
}

// WeightedTarget is a target as a home of prompts.
type WeightedTarget struct {
	Target ids.Target
	// Weight is above 0: a target has its share of all weights of the prompts.
	Weight float64
}

// Owner picks one of the places for a beginning that none is known to hold.
// Entries with the same places pick the same, without asking one another
// (weighted rendezvous hashing).
func Owner(first Fingerprint, places []WeightedTarget) int {
	best, most := -1, 0.0
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(first))
	for i, p := range places {
		var digest xxhash.Digest
		digest.Reset()
		// Writing to a digest never fails.
		_, _ = digest.Write(seed[:])
		_, _ = digest.WriteString(string(p.Target))
		drawn := (float64(digest.Sum64()>>11) + 1) / (1<<53 + 1) // in (0, 1)
		if score := p.Weight / -math.Log(drawn); best < 0 || score > most {
			best, most = i, score
		}
	}
	return best
}
