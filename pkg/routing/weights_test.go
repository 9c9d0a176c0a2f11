package routing_test

import (
	"testing"

	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// TestShareWeights guards against allowances in different units that are compared, and accounts without a limit that get
// no share.
func TestShareWeights(t *testing.T) {
	c := routing.NewCatalog(1, routing.Limits{}, nil, nil, routing.Accounts{List: []*routing.Account{
		{Name: "small", PerSecond: 10},
		{Name: "large", PerSecond: 30},
		{Name: "tokens", PerSecond: 5000, CountsTokens: true},
		{Name: "unlimited"},
		{Name: "other tier", Tier: 1, PerSecond: 1000},
	}})
	want := map[ids.Account]float64{"small": 0.5, "large": 1.5, "tokens": 1, "unlimited": 1, "other tier": 1, "unknown": 1, "": 1}
	for name, weight := range want {
		if got := c.ShareWeight(name); got != weight {
			t.Errorf("account %q has weight %v, want %v", name, got, weight)
		}
	}
}
