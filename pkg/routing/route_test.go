package routing_test

import (
	"math"
	"testing"

	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// TestServiceWithoutWeightGetsNothing guards against requests that run at a service to which their route leads none.
func TestServiceWithoutWeightGetsNothing(t *testing.T) {
	most := math.Nextafter(1, 0) // of the numbers that are drawn
	scenarios := []struct {
		name  string
		split []routing.WeightedService
		draw  float64
		want  ids.Service
	}{
		{"the last one has none", []routing.WeightedService{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}, {Service: "c"}}, most, "b"},
		{"the first one has none", []routing.WeightedService{{Service: "a"}, {Service: "b", Weight: 1}}, 0, "b"},
		{"none has any", []routing.WeightedService{{Service: "a"}, {Service: "b"}}, 0.5, ""},
		{"no service", nil, 0.5, ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			defer func() {
				if r := recover(); r != nil {
					t.Error(r)
				}
			}()
			if got := (&routing.Route{Split: s.split}).PickService(s.draw); got != s.want {
				t.Errorf("%q, want %q", got, s.want)
			}
		})
	}
}
