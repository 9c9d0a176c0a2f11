package dispatch

import (
	"testing"

	"quaydock/pkg/planner"
)

// TestPlanningLineTellsOfSpilledRequests checks the fields, which are left out where there is only one failure domain.
func TestPlanningLineTellsOfSpilledRequests(t *testing.T) {
	s := planner.Summary{Domains: 1, Spills: planner.SpillCount{Local: 5, Spilled: 2, SpilledTokens: 900}}
	if got := spillFields(&s); got != nil {
		t.Errorf("with one domain %v", got)
	}
	s.Domains = 2
	got := spillFields(&s)
	if got["domains"] != 2 || got["local"] != 5 || got["spilled"] != 2 || got["spilled_tokens"] != int64(900) {
		t.Errorf("with two domains %v", got)
	}
}
