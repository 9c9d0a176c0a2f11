// Package prefix says which targets are likely to hold the beginning of a
// prompt in their cache. What it knows is a hint: a wrong one costs computing a
// prompt again, nothing else.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint stands for a prompt from its beginning to the end of one block.
type Fingerprint uint64

const (
	// BlockBytes is the length of a block. Shorter ones find more of a prompt,
	// and cost more to look up.
	BlockBytes = 1024
	// maxBlocks bounds a chain: what is shared lies at the beginning.
	maxBlocks = 64
)

// Chain returns the fingerprints of the whole blocks of prompt, each taking in
// the one before, so that equal fingerprints mean equal beginnings.
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
