package ids_test

import (
	"fmt"
	"testing"

	"quaydock/pkg/ids"
)

func ExampleTargetIncarnation_Same() {
	former := ids.TargetIncarnation{Target: "engine-1", Start: 1764673891234}
	next := ids.TargetIncarnation{Target: "engine-1", Start: 1764673800000} // the VM's clock was set back in between
	fmt.Println(former.Same(next))
	// Output: false
}

// TestTargetIncarnationSame checks Same both ways round.
func TestTargetIncarnationSame(t *testing.T) {
	scenarios := []struct {
		name string
		a, b ids.TargetIncarnation
		want bool
	}{
		{"equal", ids.TargetIncarnation{Target: "t", Start: 5}, ids.TargetIncarnation{Target: "t", Start: 5}, true},
		{"another start", ids.TargetIncarnation{Target: "t", Start: 5}, ids.TargetIncarnation{Target: "t", Start: 7}, false},
		{"another target", ids.TargetIncarnation{Target: "t", Start: 5}, ids.TargetIncarnation{Target: "u", Start: 5}, false},
		{"one start unknown", ids.TargetIncarnation{Target: "t", Start: 5}, ids.TargetIncarnation{Target: "t"}, true},
		{"both starts unknown", ids.TargetIncarnation{Target: "t"}, ids.TargetIncarnation{Target: "t"}, true},
		{"both starts unknown, another target", ids.TargetIncarnation{Target: "t"}, ids.TargetIncarnation{Target: "u"}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if s.a.Same(s.b) != s.want || s.b.Same(s.a) != s.want {
				t.Errorf("wrong or asymmetric result for %v and %v", s.a, s.b)
			}
		})
	}
}
