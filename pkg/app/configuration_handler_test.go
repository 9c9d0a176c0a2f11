package app

import (
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/domains"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
	"quaydock/pkg/network"
	"quaydock/pkg/routing"
	"quaydock/pkg/view"
)

// Guards against a configuration that is confirmed as the newest while the store has lost it.
func TestConfigurationIsNotConfirmedByAnOlderOne(t *testing.T) {
	in := func(era history.Era, versions ...int) []follow.Row {
		var rows []follow.Row
		for _, version := range versions {
			row := validConfiguration(version)
			row.Position.Era = era
			rows = append(rows, row)
		}
		return rows
	}
	at := func(era history.Era, at clock.Millis) follow.Freshness {
		return follow.Freshness{CurrentAt: at, Position: history.At(era, 99)}
	}
	for _, returned := range [][]follow.Row{in(5, 5), nil} {
		c := commontest.New(network.NewMemory(nil))
		v := view.New(c.Check)
		h := &configurationHandler{Common: c, view: v, onApplied: func(*routing.Catalog) {}, onRead: func(history.Position) {}, domains: domains.NewFilter(c, v.SetDirectory), faults: follow.NewFaults(c, "configuration")}
		h.Snapshot(in(4, 7), at(4, 100))
		h.Snapshot(returned, at(5, 200))
		h.Changed(nil, at(5, 300))
		if v.Catalog().Revision != 7 || v.Age(300) != 200 {
			t.Errorf("revision %d, confirmed %d ms ago", v.Catalog().Revision, v.Age(300))
		}
		h.Changed(in(5, 7), at(5, 400))
		if v.Catalog().Revision != 7 || v.Age(400) != 0 {
			t.Errorf("revision %d, confirmed %d ms ago, after it was written again", v.Catalog().Revision, v.Age(400))
		}
	}
}
