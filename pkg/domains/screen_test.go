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

var listed = routing.NewDirectory([]*routing.Target{
	{ID: "a", Service: "s", Domain: "d0"}, {ID: "b", Service: "s", Domain: "d1"},
	{ID: "c", Service: "s", Domain: "d1", Admission: routing.OnTrial},
})

func drain(d ids.FailureDomain) domains.DrainOrder {
	return domains.DrainOrder{Domain: d, Drained: true}
}

func giveBack(d ids.FailureDomain) domains.DrainOrder { return domains.DrainOrder{Domain: d} }

func TestOrders(t *testing.T) {
	scenarios := []struct {
		name    string
		do      func(s *domains.Filter)
		serving int // targets of the service that may get requests, of two
		onTrial int // and of those on trial, of one
		back    bool
	}{
		{"none", func(*domains.Filter) {}, 2, 1, false},
		{"drained", func(s *domains.Filter) { s.Change([]domains.DrainOrder{drain("d1")}) }, 1, 0, false},
		{"given back", func(s *domains.Filter) { s.Change([]domains.DrainOrder{drain("d1"), giveBack("d1")}) }, 2, 1, true},
		{"given back and drained again in one read", func(s *domains.Filter) {
			s.Change([]domains.DrainOrder{drain("d1")})
			s.Change([]domains.DrainOrder{giveBack("d1"), drain("d1")})
		}, 1, 0, true},
		{"one that was never drained is given back", func(s *domains.Filter) { s.Change([]domains.DrainOrder{giveBack("d1")}) }, 2, 1, false},
		{"all are read anew, and it stands", func(s *domains.Filter) {
			s.Change([]domains.DrainOrder{drain("d1")})
			s.Replace([]domains.DrainOrder{drain("d1")})
		}, 1, 0, false},
		{"all are read anew, and it is gone", func(s *domains.Filter) {
			s.Change([]domains.DrainOrder{drain("d1")})
			s.Replace(nil)
		}, 2, 1, true},
		{"a newer list", func(s *domains.Filter) {
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
					t.Errorf("%d targets may get requests, want %d", n, sc.serving)
				}
				if n := len(got.OnTrial("s")); n != sc.onTrial {
					t.Errorf("%d on trial, want %d", n, sc.onTrial)
				}
				if got.Len() != listed.Len() {
					t.Errorf("%d targets are known", got.Len())
				}
				if back := got.Target("b").RestoredAt > 0; back != sc.back {
					t.Errorf("given back: %t", back)
				}
			})
		})
	}
}

// TestOrdersBeforeTheList: the operators' rows may be read before the targets' are.
func TestOrdersBeforeTheList(t *testing.T) {
	var got *routing.Directory
	s := domains.NewFilter(commontest.New(network.NewMemory(nil)), func(d *routing.Directory) { got = d })
	s.Replace([]domains.DrainOrder{drain("d0"), drain("d1")})
	if got != nil {
		t.Error("a list before there is one")
	}
	s.SetDirectory(listed)
	if n := len(got.Serving("s")); n != 0 {
		t.Errorf("%d targets may get requests", n)
	}
	list := s.Drained()
	slices.Sort(list)
	if !slices.Equal(list, []ids.FailureDomain{"d0", "d1"}) {
		t.Errorf("drained: %v", list)
	}
}

// TestAChangeIsLoggedOnce: what each read repeats takes no line.
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
		t.Errorf("%d lines: %s", n, log.String())
	}
}

// TestATargetThatWasGivenBackMayBeCold: it need not have told yet that it became cold while it was drained.
func TestATargetThatWasGivenBackMayBeCold(t *testing.T) {
	service := &routing.Service{Name: "s", ColdPerSecond: 20, ColdTime: 3 * clock.Second}
	target := &routing.Target{ID: "a", Service: "s", RestoredAt: 1000, ColdUntil: 2000}
	scenarios := []struct {
		at      clock.Millis
		service *routing.Service
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
