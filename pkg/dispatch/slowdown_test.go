package dispatch_test

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
	"quaydock/pkg/planner"
)

// TestOwnerAvoidsTargetsThatReportSlowness guards against reports that do not reach the owner, and against requests that
// fail because an owner of an earlier build does not know them.
func TestOwnerAvoidsTargetsThatReportSlowness(t *testing.T) {
	scenarios := []struct {
		name    string
		loses   func(_, _ netip.AddrPort, kind packets.Kind) bool
		avoided bool // by the requests of entries other than the owner
	}{
		{"all pass", func(_, _ netip.AddrPort, _ packets.Kind) bool { return false }, true},
		{"the owner is of an earlier build", func(_, _ netip.AddrPort, kind packets.Kind) bool { return kind == packets.KindSlowdownProgress }, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newCluster(t)
				b.net.Lose(s.loses)
				entry := (b.ownerIndex(-1) + 1) % entryCount
				got := make(map[ids.Target]int)
				const requests = 60
				for range requests {
					assignment, refused, err := b.entries[entry].Acquire(context.Background(), b.urgentRequest())
					if assignment == nil {
						t.Fatalf("refused %+v, %v", refused, err)
					}
					load := &planner.Load{Running: 1, Slowdown: 1}
					if assignment.Target().ID == "t0" {
						load.Slowdown = 5
					}
					time.Sleep(10 * time.Millisecond)
					got[assignment.Target().ID]++
					assignment.Began(load)
					assignment.Done(planner.Served, planner.StreamStats{})
				}
				const even = requests / targetCount
				if avoided := got["t0"] <= even/2; avoided != s.avoided {
					t.Errorf("got %v, want t0 avoided %t", got, s.avoided)
				}
			})
		})
	}
}

// TestOnlyTheOwnerShowsSlowedTargets checks what operators are shown, on the page and by the gauges.
func TestOnlyTheOwnerShowsSlowedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(t)
		owner := b.ownerIndex(-1)
		assignment, refused, err := b.entries[(owner+1)%entryCount].Acquire(context.Background(), b.urgentRequest())
		if assignment == nil {
			t.Fatalf("refused %+v, %v", refused, err)
		}
		assignment.Began(&planner.Load{Running: 1, Slowdown: 5})
		time.Sleep(50 * time.Millisecond)
		for i, e := range b.entries {
			reports := e.SlownessReports()
			if i != owner {
				if len(reports) > 0 {
					t.Errorf("an entry that plans for no service reports %+v", reports)
				}
				continue
			}
			if len(reports) != 1 || reports[0].Service != "s" || reports[0].Targets != targetCount || reports[0].Slowed != 1 {
				t.Fatalf("the owner reports %+v", reports)
			}
			if slowest := reports[0].Slowest[0]; slowest.Target != assignment.Target().ID || slowest.Age < 40 || slowest.Age > 60 {
				t.Errorf("the owner reports %+v", slowest)
			}
		}
		if lines := b.gauges(); !slices.Contains(lines, `quaydock_targets_slowed{service="s"} 1`) {
			t.Errorf("gauges: %q", lines)
		}
		assignment.Done(planner.Served, planner.StreamStats{})
	})
}
