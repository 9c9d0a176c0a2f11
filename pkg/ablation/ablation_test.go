package ablation_test

import (
	"fmt"
	"testing"

	"quaydock/pkg/ablation"
)

// TestParseReadsEveryMechanism checks that each mechanism's name switches off that mechanism and no other.
func TestParseReadsEveryMechanism(t *testing.T) {
	for _, m := range ablation.All() {
		s, err := ablation.Parse(m.String())
		if err != nil {
			t.Errorf("%v: %v", m, err)
		}
		for _, other := range ablation.All() {
			if s.Off(other) != (other == m) {
				t.Errorf("with %v switched off, Off(%v) = %t", m, other, s.Off(other))
			}
		}
	}
}

func ExampleParse() {
	off, err := ablation.Parse("tier-floor,moves")
	fmt.Println(off.Off(ablation.Moves), off.Off(ablation.Ejection), err)
	_, err = ablation.Parse("gravity")
	fmt.Println(err != nil)
	// Output:
	// true false <nil>
	// true
}
