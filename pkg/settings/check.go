package settings

import (
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/balance"
	"quaydock/pkg/clock"
	"quaydock/pkg/declaration"
)

// minFloorHold is the shortest time for which a refusal of a tier also rejects
// lower tiers. It must be above the time for which entries rely on a refusal, which is half of it
// (declineValidity of package entry).
const minFloorHold = 2 * clock.Second

// exporters are the values of trace.exporter.
var exporters = []string{"none", "file", "otlp"}

// Check returns one error that names every fault with its path, or nil.
func (s *Settings) Check() error {
	var f declaration.Faults
	f.Unless(s.Process != "", "process", "is required")
	f.Unless(s.FailureDomain != "", "failure_domain", "is required")
	_, err := logrus.ParseLevel(s.Log.Level)
	f.Unless(err == nil, "log.level", "unknown level %q", s.Log.Level)
	s.checkTrace(&f)
	f.Unless(s.HeapReserveMB >= 0, "heap_reserve_mb", "must not be below 0")
	f.Address("operators.listen", s.Operators.Listen)
	f.URL("platform.table", s.Platform.Table)
	positive(&f, "platform.poll_ms", s.Platform.PollMS)
	positive(&f, "platform.timeout_ms", s.Platform.TimeoutMS)
	roles := s.Entry != nil || len(s.Agents) > 0 || s.StandIns != nil
	f.Unless(roles, "entry", "a process needs entry, agents or stand_ins")
	if s.Entry != nil {
		s.Entry.check(&f)
	}
	for i := range s.Agents {
		s.Agents[i].check(&f, fmt.Sprintf("agents[%d]", i))
	}
	if s.StandIns != nil {
		s.StandIns.check(&f)
	}
	return f.Err("settings")
}

// positive records a fault at path unless value is above 0.
func positive[N ~int | ~int64](f *declaration.Faults, path string, value N) {
	f.Unless(value > 0, path, "must be above 0")
}

func (s *Settings) checkTrace(f *declaration.Faults) {
	f.Unless(slices.Contains(exporters, s.Trace.Exporter), "trace.exporter", "%q is not one of %v", s.Trace.Exporter, exporters)
	f.Unless(s.Trace.Exporter != "file" || s.Trace.File != "", "trace.file", "is required for the exporter %q", "file")
	if s.Trace.Exporter == "otlp" {
		f.URL("trace.endpoint", s.Trace.Endpoint)
	}
	f.Unless(s.Trace.Ratio >= 0 && s.Trace.Ratio <= 1, "trace.ratio", "must be from 0 to 1")
}

// check records the faults of an entry's settings, under the path that they have in the settings of a process.
func (e *Entry) check(f *declaration.Faults) {
	f.Address("entry.listen", e.Listen)
	positive(f, "entry.tickets_per_request", e.TicketsPerRequest)
	positive(f, "entry.outcome_timeout_ms", e.OutcomeTimeoutMS)
	_, err := balance.ParsePolicy(e.Policy)
	f.Unless(err == nil, "entry.policy", "%q is not a policy", e.Policy)
	positive(f, "entry.report_lag_ms", e.ReportLagMS)
	positive(f, "entry.dial_timeout_ms", e.DialTimeoutMS)
	f.Unless(e.SettleMS >= 0, "entry.settle_ms", "must not be below 0")
	l := e.Limits
	positive(f, "entry.limits.body_bytes", l.BodyBytes)
	positive(f, "entry.limits.header_bytes", l.HeaderBytes)
	positive(f, "entry.limits.connections", l.Connections)
	times := []struct {
		path  string
		value clock.Millis
	}{
		{"header_timeout_ms", l.HeaderTimeoutMS},
		{"body_timeout_ms", l.BodyTimeoutMS},
		{"write_timeout_ms", l.WriteTimeoutMS},
		{"idle_timeout_ms", l.IdleTimeoutMS},
		{"deadline_ms", l.DeadlineMS},
	}
	for _, t := range times {
		positive(f, "entry.limits."+t.path, t.value)
	}
}

// check records the faults of an agent's settings, which are at path in the settings of a process.
func (a *Agent) check(f *declaration.Faults, path string) {
	f.Unless(a.Target != "", path+".target", "is required")
	f.Address(path+".control", a.Control)
	f.Address(path+".data", a.Data)
	positive(f, path+".queue_time_ms", a.QueueTimeMS)
	positive(f, path+".queue_min_tokens", a.QueueMinTokens)
	positive(f, path+".grant_life_ms", a.GrantLifetimeMS)
	f.Unless(a.FloorHoldMS >= minFloorHold, path+".floor_hold_ms", "must be %d or more", minFloorHold)
	f.Unless(a.RememberMS >= a.GrantLifetimeMS, path+".remember_ms", "must not be below grant_life_ms")
	positive(f, path+".answer_bytes", a.AnswerBytes)
	f.Unless(a.CoalesceMS >= 0, path+".coalesce_ms", "must not be below 0")
	positive(f, path+".body_bytes", a.BodyBytes)
	positive(f, path+".resume_wait_ms", a.ResumeWaitMS)
}

func (s *StandIns) check(f *declaration.Faults) {
	if s.Platform != nil {
		f.Address("stand_ins.platform.listen", s.Platform.Listen)
		f.Unless(s.Platform.Declarations != "", "stand_ins.platform.declarations", "is required")
	}
	for i, e := range s.Engines {
		path := fmt.Sprintf("stand_ins.engines[%d]", i)
		f.Address(path+".listen", e.Listen)
		f.Unless(e.Model != "", path+".model", "is required")
		f.Unless(e.StepMS >= 0, path+".step_ms", "must not be below 0")
		f.Unless(e.StepMS == 0 || e.PrefillPerStep > 0, path+".prefill_per_step", "must be above 0")
	}
	for i, p := range s.Services {
		f.Address(fmt.Sprintf("stand_ins.services[%d].listen", i), p.Listen)
	}
}
