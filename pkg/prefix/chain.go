// Package prefix estimates which targets have the prefix of a prompt in their
// cache. An estimate is only a hint: if it is wrong, the target computes the prompt again.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash of a prompt from its beginning to the end of one block.
type Fingerprint uint64

const (
	// BlockBytes is the length of a block. Shorter blocks match more of a prompt
	// but cost more look-ups.
	BlockBytes = 1024
	// maxBlocks limits the blocks of a chain: prompts share their beginnings.
	maxBlocks = 64
)

// Chain returns the fingerprints of the complete blocks of prompt, at most maxBlocks; nil for a prompt shorter than
// one. Each includes the one before, so that equal fingerprints mean equal prefixes.
func Chain(prompt []byte) []Fingerprint {
	n := min(len(prompt)/BlockBytes, maxBlocks)
	if n == 0 {
		return nil
	}
	chain := make([]Fingerprint, n)
	var seed [8]byte
	for i := range chain {
		var digest xxhash.Digest
		digest.Reset()
		// Writing to a digest never fails.
		_, _ = digest.Write(seed[:])
		_, _ = digest.Write(prompt[i*BlockBytes : (i+1)*BlockBytes])
		sum := digest.Sum64()
		chain[i] = Fingerprint(sum)
		binary.LittleEndian.PutUint64(seed[:], sum)
	}
	return chain
}
