package prefix_test

import (
	"bytes"
	"fmt"
	"testing"

	"quaydock/pkg/ids"
	"quaydock/pkg/prefix"
)

func ExampleChain() {
	shared := bytes.Repeat([]byte("a"), 2*prefix.BlockBytes)
	one := prefix.Chain(append(shared[:len(shared):len(shared)], bytes.Repeat([]byte("b"), prefix.BlockBytes)...))
	two := prefix.Chain(append(shared[:len(shared):len(shared)], bytes.Repeat([]byte("c"), prefix.BlockBytes)...))
	fmt.Println(one[1] == two[1], one[2] == two[2])
	// Output: true false
}

// TestCachedBlocks: only blocks from the beginning of a prompt on count as cached, and only at the target that got
// them.
func TestCachedBlocks(t *testing.T) {
	estimate := prefix.NewCacheEstimate()
	estimate.Record("a", []prefix.Fingerprint{1, 2, 3})
	scenarios := []struct {
		name   string
		target ids.Target
		chain  []prefix.Fingerprint
		want   int
	}{
		{"complete chain", "a", []prefix.Fingerprint{1, 2, 3}, 3},
		{"only the beginning", "a", []prefix.Fingerprint{1, 2, 9}, 2},
		{"a later part but not the beginning", "a", []prefix.Fingerprint{9, 2, 3}, 0},
		{"another target", "b", []prefix.Fingerprint{1}, 0},
	}
	for _, s := range scenarios {
		if got := estimate.CachedBlocks(s.target, s.chain); got != s.want {
			t.Errorf("%s: %d blocks, want %d", s.name, got, s.want)
		}
	}
}

// TestRemovedTargetMovesOnlyItsPrompts: removing a target changes the owner only of the prompts that it owned.
func TestRemovedTargetMovesOnlyItsPrompts(t *testing.T) {
	all := []prefix.WeightedTarget{{"a", 1}, {"b", 2}, {"c", 1}, {"d", 3}}
	without := all[:3]
	for f := range prefix.Fingerprint(200) {
		before := all[prefix.Owner(f, all)].Target
		after := without[prefix.Owner(f, without)].Target
		if before != "d" && before != after {
			t.Fatalf("owner of fingerprint %d changed from %s to %s, although only target d was removed", f, before, after)
		}
	}
}
