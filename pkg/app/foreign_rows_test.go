package app

import (
	"fmt"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/domains"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
	"quaydock/pkg/network"
	"quaydock/pkg/rollout"
	"quaydock/pkg/routing"
	"quaydock/pkg/view"
	"quaydock/platform"
)

// configurationRow returns a row with a document in place of the operators' configuration.
func configurationRow(version int, document string) follow.Row {
	return follow.Row{Key: platform.KeyConfiguration, Value: []byte(document), Position: history.At(0, int64(version))}
}

// validConfiguration returns a row with a valid configuration, whose revision is the row's version.
func validConfiguration(version int) follow.Row {
	return configurationRow(version, fmt.Sprintf(
		`{"version":%d,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe","timeout_ms":1000,"service":"s"}],"services":[{"name":"s"}],"limits":{}}`, version))
}

// TestInvalidConfigurationKeepsFormerOne: another writer overwrites the row of the operators' configuration with a
// document that is none. A document with a version alone was read as a configuration without routes, and removed all.
func TestInvalidConfigurationKeepsFormerOne(t *testing.T) {
	documents := []struct{ name, document string }{
		{"nothing", ``},
		{"null", `null`},
		{"an empty object", `{}`},
		{"a version alone", `{"version":9}`},
		{"no routes", `{"version":9,"services":[],"limits":{}}`},
		{"routes that are null", `{"version":9,"routes":null,"services":[],"limits":{}}`},
		{"no limits", `{"version":9,"routes":[],"services":[]}`},
		{"a version that is a string", `{"version":"9","routes":[],"services":[],"limits":{}}`},
		{"a version below 0", `{"version":-9,"routes":[],"services":[],"limits":{}}`},
		{"routes twice", `{"version":9,"routes":[],"routes":[],"services":[],"limits":{}}`},
		{"a time below 0", `{"version":9,"routes":[{"name":"r","timeout_ms":-1}],"services":[],"limits":{}}`},
		{"a time out of range", `{"version":9,"routes":[],"services":[],"limits":{"idle_timeout_ms":9000000000000000000}}`},
		{"a weight below 0", `{"version":9,"routes":[{"name":"r","split":[{"service":"s","weight":-1}]}],"services":[],"limits":{}}`},
		{"a limit below 0", `{"version":9,"routes":[],"services":[],"limits":{},"tenants":[{"name":"t","rate_per_s":-1}]}`},
		{"a size below 0", `{"version":9,"routes":[],"services":[],"limits":{"max_body_bytes":-1}}`},
	}
	for _, d := range documents {
		t.Run(d.name, func(t *testing.T) {
			c := commontest.New(network.NewMemory(nil))
			v := view.New(c.Check)
			h := &configurationHandler{Common: c, view: v, onApplied: func(*routing.Catalog) {}, onRead: func(history.Position) {}, domains: domains.NewFilter(c, v.SetDirectory), faults: follow.NewFaults(c, "configuration")}
			h.Snapshot([]follow.Row{validConfiguration(7)}, follow.Freshness{CurrentAt: 100})
			for i, take := range []func([]follow.Row, follow.Freshness){h.Changed, h.Snapshot} {
				now := clock.Millis(200 * (i + 1))
				take([]follow.Row{configurationRow(8, d.document)}, follow.Freshness{CurrentAt: now})
				if v.Catalog().Revision != 7 || v.Catalog().Route("h", "/x") == nil {
					t.Errorf("revision %d is in force", v.Catalog().Revision)
				}
				h.Changed(nil, follow.Freshness{CurrentAt: now})
				// The row may have replaced one that revoked a key.
				if age := v.Age(now); age != now-100 {
					t.Errorf("the configuration in force was confirmed %d ms ago", age)
				}
				if h.faults.Count() != 1 {
					t.Error("the fault is not counted")
				}
			}
			h.Changed([]follow.Row{validConfiguration(9)}, follow.Freshness{CurrentAt: 500})
			if v.Catalog().Revision != 9 || h.faults.Count() != 0 || v.Age(500) != 0 {
				t.Errorf("revision %d is in force after the next one", v.Catalog().Revision)
			}
		})
	}
}

// TestInvalidOrderKeepsRollout: another writer overwrites the row of an order. A snapshot of the table, which is read
// every 10 s, took the order for removed.
func TestInvalidOrderKeepsRollout(t *testing.T) {
	for _, document := range []string{
		``, `{}`, `[]`, `{"target_version":"v2"}`, `{"target_version":"v2","duration_s":"9"}`, `{"target_version":"v2","duration_s":1e300}`,
		`{"target_version":"v2","duration_s":-9}`, `{"target_version":2,"duration_s":9}`, `{"service":"other","target_version":"v2","duration_s":9}`,
		`{"service":null,"target_version":"v2","duration_s":9}`, `{"target_version":"v2","target_version":"v3","duration_s":9}`,
	} {
		t.Run(document, func(t *testing.T) {
			c := commontest.New(network.NewMemory(nil))
			r := newRollouts(c, view.New(c.Check))
			row := func(document string, version int64) []follow.Row {
				return []follow.Row{{Key: platform.RecordKey("s"), Value: []byte(document), Position: history.At(0, version)}}
			}
			r.applyOrders(row(`{"service":"s","target_version":"v1","duration_s":9}`, 5), true, follow.Freshness{Position: history.At(0, 5)})
			for _, snapshot := range []bool{false, true, true} {
				r.applyOrders(row(document, 6), snapshot, follow.Freshness{Position: history.At(0, 6)})
				if o, known := r.tracker.Order("s"); !known || o.Version != "v1" || o.Placed != 5 {
					t.Errorf("order %+v, known %t, after a snapshot %t", o, known, snapshot)
				}
			}
			if r.orderFaults.Count() != 1 {
				t.Error("the fault is not counted")
			}
			r.applyOrders(row(`{"target_version":"v3","duration_s":9}`, 7), false, follow.Freshness{Position: history.At(0, 7)})
			if o, _ := r.tracker.Order("s"); o.Version != "v3" || r.orderFaults.Count() != 0 {
				t.Errorf("the next order is %+v", o)
			}
		})
	}
}

// TestInvalidRolloutRecordDecidesNothing: another writer overwrites the row of a record.
func TestInvalidRolloutRecordDecidesNothing(t *testing.T) {
	for _, document := range []string{
		``, `{}`, `{"service":"s"}`, `{"service":"other","version":"v2","order":5,"state":2}`, `{"service":"s","version":"v2","order":5,"state":77}`,
		`{"service":"s","version":"v2","order":5,"state":2,"started_ms":9,"ends_ms":-9}`, `{"service":"s","version":"v2","order":-5,"state":2}`,
	} {
		t.Run(document, func(t *testing.T) {
			c := commontest.New(network.NewMemory(nil))
			r := newRollouts(c, view.New(c.Check))
			r.applyRecords([]follow.Row{{Key: platform.RecordKey("s"), Value: []byte(document), Position: history.At(0, 6)}}, false, follow.Freshness{Position: history.At(0, 6)})
			for _, service := range r.tracker.Services() {
				t.Errorf("a record of service %s", service)
			}
			if r.recordFaults.Count() != 1 {
				t.Error("the fault is not counted")
			}
			valid := `{"service":"s","version":"v2","order":5,"state":1}`
			r.applyRecords([]follow.Row{{Key: platform.RecordKey("s"), Value: []byte(valid), Position: history.At(0, 7)}}, false, follow.Freshness{Position: history.At(0, 7)})
			r.applyRecords([]follow.Row{{Key: platform.RecordKey("s"), Value: []byte(document), Position: history.At(0, 8)}}, false, follow.Freshness{Position: history.At(0, 8)})
			// The next state is written under the condition that the row has its revision.
			if known, _ := r.tracker.Record("s"); known.Version != "v2" || known.State != rollout.Running || known.Written != 8 {
				t.Errorf("the record is %+v", known)
			}
		})
	}
}
