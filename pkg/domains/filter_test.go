package domains_test

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/domains"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/routing"
)

// listed has two targets of a service, one in each failure domain, and one on trial in d1.
var listed = routing.NewDirectory([]*routing.Target{
	{ID: "a", Service: "s", Domain: "d0"}, {ID: "b", Service: "s", Domain: "d1"},
	{ID: "c", Service: "s", Domain: "d1", Admission: routing.OnTrial},
})

func drain(d ids.FailureDomain) domains.DrainOrder {
	return domains.DrainOrder{Domain: d, Drained: true}
}

func restore(d ids.FailureDomain) domains.DrainOrder { return domains.DrainOrder{Domain: d} }

// Guards against orders that are lost or undone when they are read in snapshots, in one read with others, or before a
// newer directory.
func TestOrders(t *testing.T) {
	scenarios := []struct {
		name     string
		do       func(s *domains.Filter)
		serving  int  // of the service's two targets
		onTrial  int  // of its one target on trial
		restored bool // the domain was restored once
	}{
		{"no orders", func(*domains.Filter) {}, 2, 1, false},
		{"drained", func(s *domains.Filter) { s.Change([]domains.DrainOrder{drain("d1")}) }, 1, 0, false},
		{"restored", func(s *domains.Filter) { s.Change([]domains.DrainOrder{drain("d1"), restore("d1")}) }, 2, 1, true},
		{"restored and drained again in one read", func(s *domains.Filter) {
			s.Change([]domains.DrainOrder{drain("d1")})
			s.Change([]domains.DrainOrder{restore("d1"), drain("d1")})
		}, 1, 0, true},
		{"restored without having been drained", func(s *domains.Filter) { s.Change([]domains.DrainOrder{restore("d1")}) }, 2, 1, false},
		{"snapshot with the order", func(s *domains.Filter) {
			s.Change([]domains.DrainOrder{drain("d1")})
			s.Replace([]domains.DrainOrder{drain("d1")})
		}, 1, 0, false},
		{"snapshot without the order", func(s *domains.Filter) {
			s.Change([]domains.DrainOrder{drain("d1")})
			s.Replace(nil)
		}, 2, 1, true},
		{"newer directory", func(s *domains.Filter) {
			s.Change([]domains.DrainOrder{drain("d1")})
			s.SetDirectory(listed)
		}, 1, 0, false},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var got *routing.Directory
				s := domains.NewFilter(commontest.New(network.NewMemory(nil)), func(d *routing.Directory) { got = d })
				s.SetDirectory(listed)
				time.Sleep(time.Second)
				sc.do(s)
				if n := len(got.Serving("s")); n != sc.serving {
					t.Errorf("%d targets serve, want %d", n, sc.serving)
				}
				if n := len(got.OnTrial("s")); n != sc.onTrial {
					t.Errorf("%d targets on trial, want %d", n, sc.onTrial)
				}
				if got.Len() != listed.Len() {
					t.Errorf("the directory has %d targets, want all of them", got.Len())
				}
				if restored := got.Target("b").RestoredAt > 0; restored != sc.restored {
					t.Errorf("domain recorded as restored: %t", restored)
				}
			})
		})
	}
}

// Operators' orders may be read before the target list; they must apply once it arrives.
func TestOrdersReadBeforeTheTargetListApply(t *testing.T) {
	var got *routing.Directory
	s := domains.NewFilter(commontest.New(network.NewMemory(nil)), func(d *routing.Directory) { got = d })
	s.Replace([]domains.DrainOrder{drain("d0"), drain("d1")})
	if got != nil {
		t.Error("a directory was published before one was set")
	}
	s.SetDirectory(listed)
	if n := len(got.Serving("s")); n != 0 {
		t.Errorf("%d targets serve, want none", n)
	}
	list := s.Drained()
	slices.Sort(list)
	if !slices.Equal(list, []ids.FailureDomain{"d0", "d1"}) {
		t.Errorf("drained domains: %v, want d0 and d1", list)
	}
}

// Guards against a log line for each read of an order that is in force already.
func TestAChangeIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	c := commontest.New(network.NewMemory(nil))
	c.Log.Logger.SetOutput(&log)
	s := domains.NewFilter(c, func(*routing.Directory) {})
	s.SetDirectory(listed)
	for range 3 {
		s.Replace([]domains.DrainOrder{drain("d1")})
	}
	s.Replace(nil)
	s.Replace(nil)
	if n := strings.Count(log.String(), "\n"); n != 2 || !strings.Contains(log.String(), "targets=2") {
		t.Errorf("%d log lines, want 2 with targets=2: %s", n, log.String())
	}
}

// A target whose failure domain was restored counts as cold for the service's slow-start time: it may have become cold
// while the domain was drained, without having reported it yet.
func TestRestoredTargetCountsAsColdForTheSlowStartTime(t *testing.T) {
	service := &routing.Service{Name: "s", ColdPerSecond: 20, ColdTime: 3 * clock.Second}
	target := &routing.Target{ID: "a", Service: "s", RestoredAt: 1000, ColdUntil: 2000}
	scenarios := []struct {
		at      clock.Millis
		service *routing.Service // nil if the configuration has not been read
		cold    bool
	}{
		{1500, service, true},
		{3999, service, true},
		{4000, service, false},
		{1999, nil, true},
		{2000, nil, false},
		{1500, &routing.Service{Name: "s"}, false},
	}
	for _, s := range scenarios {
		if got := target.Cold(s.at, s.service); got != s.cold {
			t.Errorf("at %d, service %+v: cold %t", s.at, s.service, got)
		}
	}
}
