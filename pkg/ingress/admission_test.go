package ingress

import (
	"math"
	"testing"

	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// TestLowerTiersReservePartOfAllowance guards against requests of low tiers that use up an account's burst before its
// higher tiers get any of it, and against cheap requests that reserve as much as large ones.
func TestLowerTiersReservePartOfAllowance(t *testing.T) {
	tokens := &routing.Account{CountsTokens: true, PlainTokens: 200}
	requests := &routing.Account{}
	scenarios := []struct {
		name    string
		account *routing.Account
		tier    ids.TierRank
		units   float64
		want    float64 // fraction of the account's burst
	}{
		{"highest tier reserves nothing", tokens, 0, 5000, 0},
		{"next tier reserves half", tokens, 1, 5000, 0.075},
		{"low tier reserves the maximum", tokens, 2, 5000, 0.15},
		{"lowest tier reserves no more than the maximum", tokens, 7, 5000, 0.15},
		{"cheap request reserves little", tokens, 2, 200, 0.03},
		{"account that counts requests", requests, 2, 1, 0.15},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			q := &request{route: &routing.Route{Tier: s.tier}, account: s.account}
			if got := reserveFor(q, s.units); math.Abs(got-s.want) > 1e-9 {
				t.Errorf("reserves %.3f, want %.3f", got, s.want)
			}
		})
	}
}
