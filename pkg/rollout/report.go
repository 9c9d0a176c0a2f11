package rollout

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Report is what one entry knows of a service's roll-out, for operators.
type Report struct {
	Service ids.Service `json:"service"`
	Version ids.Version `json:"version"`
	State   string      `json:"state"`
	Why     string      `json:"why,omitempty"`
	// Barred lists the versions that receive nothing without a new order.
	Barred []ids.Version `json:"barred,omitempty"`
	// Evidence is that of the record or, at the entry that evaluates the version, the current one.
	Evidence Summary `json:"evidence"`
	// Evaluates says that this entry evaluates the version. Only then are Missing, Suspicion and Fraction set: the
	// evidence that is still missing, what counts against the version, and the fraction of the requests that it gets
	// now.
	Evaluates bool     `json:"judges"`
	Missing   []string `json:"missing,omitempty"`
	Suspicion string   `json:"doubt,omitempty"`
	Fraction  float64  `json:"share"`
	// EndsIn is the time left until the earliest end of an open order, 0 after the decision, and FeedAge the time since
	// this entry's data was last known to be current, both in ms.
	EndsIn  clock.Millis `json:"ends_in_ms"`
	FeedAge clock.Millis `json:"news_age_ms"`
	// Reached and Sent count this entry's requests since the order: all of them, and those sent to the version.
	Reached int `json:"reached"`
	Sent    int `json:"sent"`
}

// Report describes a service's roll-out. It returns false if there is none.
func (tr *Tracker) Report(now clock.Millis, service ids.Service) (Report, bool) {
	order, r, open := tr.OpenOrder(service)
	if !open {
		if r, open = tr.Record(service); !open {
			return Report{}, false
		}
	}
	report := Report{
		Service: service, Version: r.Version, State: r.State.String(), Why: r.Why, Barred: r.Barred, Evidence: r.Evidence,
		FeedAge: tr.Age(now),
	}
	if !r.State.Final() {
		report.EndsIn = tr.Times(order, r).EarliestEnd - now
	}
	return report, true
}

// Describe adds to a report what the trial at this owner knows, and the fraction of its newest plan. As for all methods
// of a trial, the caller holds the owner's lock.
func (t *Trial) Describe(r *Report, p Plan) {
	r.Evaluates = true
	r.Evidence = t.Evidence.Summary()
	r.Missing = t.Missing()
	r.Suspicion = t.finding.Why
	r.Fraction = p.Fraction
}
