package prefix

import (
	"encoding/binary"
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"quaydock/pkg/ids"
)

// blocksPerTarget limits the fingerprints kept per target, each of one block of BlockBytes; the least recently sent
// ones are dropped.
const blocksPerTarget = 4096

// CacheEstimate keeps the blocks most recently sent to each target in an LRU cache, like the
// target's own prompt cache. It is safe for concurrent use.
type CacheEstimate struct {
	mu      sync.Mutex // guards targets
	targets map[ids.Target]*lru.Cache[Fingerprint, struct{}]
}

// NewCacheEstimate returns an empty CacheEstimate.
func NewCacheEstimate() *CacheEstimate {
	return &CacheEstimate{targets: make(map[ids.Target]*lru.Cache[Fingerprint, struct{}])}
}

// Record records that a prompt with this chain was sent to target.
func (c *CacheEstimate) Record(target ids.Target, chain []Fingerprint) {
	if len(chain) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cache := c.targets[target]
	if cache == nil {
		// New fails only for sizes below 1.
		cache, _ = lru.New[Fingerprint, struct{}](blocksPerTarget)
		c.targets[target] = cache
	}
	for _, f := range chain {
		cache.Add(f, struct{}{})
	}
}

// CachedBlocks returns how many blocks at the beginning of a prompt the target is
// likely to have in its cache.
func (c *CacheEstimate) CachedBlocks(target ids.Target, chain []Fingerprint) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cache := c.targets[target]
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

// WeightedTarget is a target that can be the owner of prompts.
type WeightedTarget struct {
	Target ids.Target
	// Weight is above 0: a target owns prompts in proportion to its fraction of all weights.
	Weight float64
}

// Owner returns the index of the target that owns the prompts with the fingerprint first, for prompts that no
// target is known to have in its cache; -1 if there are no targets. Entries with the same targets choose the same one
// without communication (weighted rendezvous hashing).
func Owner(first Fingerprint, targets []WeightedTarget) int {
	best, bestScore := -1, 0.0
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(first))
	for i, t := range targets {
		var digest xxhash.Digest
		digest.Reset()
		// Writing to a digest never fails.
		_, _ = digest.Write(seed[:])
		_, _ = digest.WriteString(string(t.Target))
		uniform := (float64(digest.Sum64()>>11) + 1) / (1<<53 + 1) // in (0, 1)
		if score := t.Weight / -math.Log(uniform); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
