package standin

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// cacheBlockTokens is the size of a block of the prompt cache.
const cacheBlockTokens = 64

// promptCache is an LRU cache of the blocks of prompt prefixes. A nil cache is always
// empty.
type promptCache struct {
	blocks *lru.Cache[uint64, struct{}]
}

// newPromptCache returns a cache of so many prompt tokens, or nil if that is less than a block.
func newPromptCache(tokens int) *promptCache {
	if tokens < cacheBlockTokens {
		return nil
	}
	// New fails only for sizes below 1.
	blocks, _ := lru.New[uint64, struct{}](tokens / cacheBlockTokens)
	return &promptCache{blocks: blocks}
}

// promptBlocks returns, for each complete block, a hash of the prompt up to its end.
func promptBlocks(prompt []byte) []uint64 {
	const size = cacheBlockTokens * bytesPerToken
	var chain []uint64
	var seed [8]byte
	for ; len(prompt) >= size; prompt = prompt[size:] {
		sum := xxhash.Sum64(append(seed[:], prompt[:size]...))
		chain = append(chain, sum)
		binary.LittleEndian.PutUint64(seed[:], sum)
	}
	return chain
}

// cachedTokens returns the length of the cached prefix of a prompt in tokens. Its blocks count as used.
func (c *promptCache) cachedTokens(chain []uint64) int {
	if c == nil {
		return 0
	}
	for i, block := range chain {
		if _, found := c.blocks.Get(block); !found {
			return i * cacheBlockTokens
		}
	}
	return len(chain) * cacheBlockTokens
}

// add caches all blocks of a prompt, evicting those that were not used for longest.
func (c *promptCache) add(chain []uint64) {
	if c == nil {
		return
	}
	for _, block := range chain {
		c.blocks.Add(block, struct{}{})
	}
}
