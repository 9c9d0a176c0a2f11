package dispatch

import (
	"net/netip"
	"slices"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
	"quaydock/pkg/planner"
	"quaydock/pkg/ratelimit"
)

// advicePerPage is the number of items of advice that always fit into one datagram.
const advicePerPage = 14

// adviceMessage carries to an owner the advice that an entry has received from targets of a service.
type adviceMessage struct {
	_       struct{} `cbor:",toarray"`
	Service ids.Service
	Items   []targetAdvice
}

// targetAdvice is the advice of one target.
type targetAdvice struct {
	_           struct{} `cbor:",toarray"`
	Incarnation ids.TargetIncarnation
	Leaving     bool
	Backoff     clock.Millis          // remaining, for the entry that sends the message
	Limit       *ratelimit.AgedReport // nil if unknown
}

// receiveAdvice applies the advice that an entry has received from targets.
func (owner *Owner) receiveAdvice(from netip.AddrPort, a *adviceMessage) {
	now := owner.Clock.Now()
	owner.withPlanner(now, a.Service, from, func(p *planner.Planner) {
		for _, it := range a.Items {
			p.Advise(now, from.String(), it.Incarnation, it.Leaving, it.Backoff)
			if limit, changed := p.SetLimit(now, it.Incarnation, it.Limit.Report(now)); changed {
				owner.logLimit(from, it.Incarnation, limit)
			}
		}
	})
}

// logLimit logs that the planner now uses another rate limit for a target, up to logLinesPerSecond times a second.
func (owner *Owner) logLimit(from netip.AddrPort, incarnation ids.TargetIncarnation, limit ratelimit.Report) {
	if !owner.sampler.Allow("limit") {
		return
	}
	line := owner.Log.WithFields(logrus.Fields{"target": string(incarnation.Target), "start": int64(incarnation.Start), "heard_from": from.String()})
	if limit.IsLimited() {
		line.WithField("per_second", float64(limit.Rate)).Info("planner applies the rate limit of a target")
		return
	}
	line.Info("planner no longer applies a rate limit to a target")
}

// ForwardAdvice forwards the advice that a target has given this entry to the owner of the target's service.
func (d *Dispatcher) ForwardAdvice(s advisory.Status) {
	if t := d.view.Directory().Target(s.Incarnation.Target); t != nil {
		d.sendAdvice(t.Service, []advisory.Status{s})
	}
}

// sendAdvice sends the advice of targets of one service to its owner, in as many datagrams as it takes.
func (d *Dispatcher) sendAdvice(service ids.Service, list []advisory.Status) {
	now := d.Clock.Now()
	for len(list) > 0 {
		page := list[:min(len(list), advicePerPage)]
		list = list[len(page):]
		message := adviceMessage{Service: service}
		for _, s := range page {
			message.Items = append(message.Items, targetAdvice{Incarnation: s.Incarnation, Leaving: s.Leaving, Backoff: s.Backoff, Limit: s.Limit.Aged(now)})
		}
		sendToOwner(d, service, packets.KindAdvice, d.owner.receiveAdvice, &message)
	}
}

// sendAllAdvice sends each owner all advice that this entry has about its targets. It runs when a grant is returned, so
// that an owner that has just taken over, or has missed a message, receives everything then; sending it every second as
// well would cost more datagrams and save nothing.
func (d *Dispatcher) sendAllAdvice() {
	lists := make(map[ids.Service][]advisory.Status)
	for _, status := range d.advice.All() {
		t := d.view.Directory().Target(status.Incarnation.Target)
		if t == nil {
			continue
		}
		// Use the status of the listed incarnation: the advice may be from one that this entry has not read yet.
		if s := d.advice.Status(t.Incarnation()); s.Blocks() || s.Limit.Known {
			lists[t.Service] = append(lists[t.Service], s)
		}
	}
	for service, list := range lists {
		d.sendAdvice(service, list)
	}
}

// blockedByAdvice reports whether a grant must not be used, as its target has told this entry to send nothing, or has a
// rate limit against which the owner did not count the grant. If the owner's limit is out of date, the current one is
// sent to it. It returns false if this entry lists no such incarnation, for which usableTarget returns nil.
func (d *Dispatcher) blockedByAdvice(a *decisionMessage) bool {
	t := d.view.Directory().Target(a.Incarnation.Target)
	if t == nil || !t.Incarnation().Same(a.Incarnation) {
		return false
	}
	known := a.Limit.Report(d.Clock.Now())
	s := d.advice.MergeOwnerLimit(t.Incarnation(), known)
	if s.Limit.Differs(known) {
		d.sendAdvice(t.Service, []advisory.Status{s})
	}
	return s.Blocks() || s.Limit.IsLimited() && !a.Counted
}

// maxWithheld is how many grants a request may return because of advice before it excludes each further target that it
// returns: by then the owner is evidently not receiving the advice.
const maxWithheld = 3

// withhold returns a grant for a target that has told this entry to send nothing. All advice that this entry has is
// sent to the owner first, so that an owner that knows none of it costs the request only one round trip.
func (d *Dispatcher) withhold(p *pending, incarnation ids.TargetIncarnation) {
	d.Metrics.Links.Add("grants_withheld", 1)
	d.sendAllAdvice()
	if p.withheld++; p.withheld > maxWithheld {
		p.request.Exclude = append(slices.Clone(p.request.Exclude), incarnation)
	}
	d.returnGrant(p, planner.Withheld)
}
