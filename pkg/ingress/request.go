package ingress

import (
	"net/http"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// request is an admitted request.
type request struct {
	Call
	http     *http.Request
	body     []byte
	route    *routing.Route
	account  *routing.Account // nil on routes without keys
	service  ids.Service
	arrived  clock.Millis
	deadline clock.Millis
	draw     float64 // picks the service of a split route, the same each time

	sent      int // exchanges that may have run at a target
	declines  int // exchanges that surely did not
	sends     int // all exchanges that reached a target
	tried     []ids.Target
	lastEvent int64
	hasEvent  bool
}

// tierStep keeps the tiers of accounts apart: an account's rank goes before the
// route's.
const tierStep = 16

func (r *request) tier() ids.TierRank {
	tier := min(r.route.Tier, tierStep-1)
	if r.account != nil {
		tier += r.account.Tier * tierStep
	}
	return tier
}

func (r *request) accountName() ids.Account {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// output estimates the tokens of the answer.
func (r *request) output() ids.Tokens {
	if r.OutputGuess > 0 {
		return min(r.OutputGuess, max(r.MostOut, 1))
	}
	return r.MostOut / 2
}
