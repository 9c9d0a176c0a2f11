package ingress

import (
	"math"
	"testing"

	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

func TestLowerTiersLeavePartOfAnAllowance(t *testing.T) {
	tokens := &routing.Account{CountsTokens: true, PlainTokens: 200}
	requests := &routing.Account{}
	scenarios := []struct {
		name    string
		account *routing.Account
		tier    ids.TierRank
		units   float64
		want    float64
	}{
		{"the highest leaves nothing", tokens, 0, 5000, 0},
		{"the next leaves half", tokens, 1, 5000, 0.075},
		{"a low one leaves all", tokens, 2, 5000, 0.15},
		{"no more than all", tokens, 7, 5000, 0.15},
		{"a cheap one leaves little", tokens, 2, 200, 0.03},
		{"where requests count, all cost the same", requests, 2, 1, 0.15},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			q := &request{route: &routing.Route{Tier: s.tier}, account: s.account}
			if got := keepFor(q, s.units); math.Abs(got-s.want) > 1e-9 {
				t.Errorf("leaves %.3f, want %.3f", got, s.want)
			}
		})
	}
}
