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

func TestHeld(t *testing.T) {
	h := prefix.NewCacheEstimate()
	h.Record("a", []prefix.Fingerprint{1, 2, 3})
	scenarios := []struct {
		name   string
		target ids.Target
		chain  []prefix.Fingerprint
		want   int
	}{
		{"whole", "a", []prefix.Fingerprint{1, 2, 3}, 3},
		{"the beginning", "a", []prefix.Fingerprint{1, 2, 9}, 2},
		{"a later part is no beginning", "a", []prefix.Fingerprint{9, 2, 3}, 0},
		{"another target", "b", []prefix.Fingerprint{1}, 0},
	}
	for _, s := range scenarios {
		if got := h.CachedBlocks(s.target, s.chain); got != s.want {
			t.Errorf("%s: %d blocks, want %d", s.name, got, s.want)
		}
	}
}

// A target that leaves moves only the prompts whose home it was.
func TestHomeMovesLittle(t *testing.T) {
	all := []prefix.WeightedTarget{{"a", 1}, {"b", 2}, {"c", 1}, {"d", 3}}
	without := all[:3]
	for f := range prefix.Fingerprint(200) {
		before := all[prefix.Owner(f, all)].Target
		after := without[prefix.Owner(f, without)].Target
		if before != "d" && before != after {
			t.Fatalf("fingerprint %d moved from %s to %s", f, before, after)
		}
	}
}
