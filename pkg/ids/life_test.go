package ids_test

import (
	"fmt"
	"testing"

	"quaydock/pkg/ids"
)

func ExampleLife_Same() {
	former := ids.Life{Target: "engine-1", Start: 1764673891234}
	next := ids.Life{Target: "engine-1", Start: 1764673800000} // the VM's clock was set back in between
	fmt.Println(former.Same(next))
	// Output: false
}

func TestLifeSame(t *testing.T) {
	scenarios := []struct {
		name string
		a, b ids.Life
		want bool
	}{
		{"equal", ids.Life{Target: "t", Start: 5}, ids.Life{Target: "t", Start: 5}, true},
		{"another start", ids.Life{Target: "t", Start: 5}, ids.Life{Target: "t", Start: 7}, false},
		{"another target", ids.Life{Target: "t", Start: 5}, ids.Life{Target: "u", Start: 5}, false},
		{"one start unknown", ids.Life{Target: "t", Start: 5}, ids.Life{Target: "t"}, true},
		{"both starts unknown", ids.Life{Target: "t"}, ids.Life{Target: "t"}, true},
		{"both starts unknown, another target", ids.Life{Target: "t"}, ids.Life{Target: "u"}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if s.a.Same(s.b) != s.want || s.b.Same(s.a) != s.want {
				t.Errorf("wrong or asymmetric result for %v and %v", s.a, s.b)
			}
		})
	}
}
