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

// advisedAPage is how many advices surely fit into one datagram.
const advisedAPage = 14

// advice tells a home what targets of a service have told an entry.
type advice struct {
	_       struct{} `cbor:",toarray"`
	Service ids.Service
	Items   []advised
}

// advised is the word of one target.
type advised struct {
	_       struct{} `cbor:",toarray"`
	Life    ids.TargetIncarnation
	Leaving bool
	Rest    clock.Millis // left of it
	Takes   *ratelimit.AgedReport
}

// advised takes what targets have told an entry.
func (h *Owner) advised(from netip.AddrPort, a *advice) {
	now := h.Clock.Now()
	h.with(now, a.Service, from, func(p *planner.Planner) {
		for _, it := range a.Items {
			p.Advise(now, from.String(), it.Life, it.Leaving, it.Rest)
			if takes, changed := p.SetLimit(now, it.Life, it.Takes.Report(now)); changed {
				h.noteLimit(from, it.Life, takes)
			}
		}
	})
}

// noteLimit logs that the planner of a target reckons with another limit.
func (h *Owner) noteLimit(from netip.AddrPort, life ids.TargetIncarnation, takes ratelimit.Report) {
	if !h.sampler.Allow("limit") {
		return
	}
	line := h.Log.WithFields(logrus.Fields{"target": string(life.Target), "start": int64(life.Start), "heard_from": from.String()})
	if takes.IsLimited() {
		line.WithField("per_second", float64(takes.Rate)).Info("planning by a limit")
		return
	}
	line.Info("planning without a limit")
}

// Advise tells the home of a target's service what the target has told this entry.
func (d *Dispatcher) Advise(s advisory.Status) {
	if t := d.view.Directory().Target(s.Incarnation.Target); t != nil {
		d.advise(t.Service, []advisory.Status{s})
	}
}

func (d *Dispatcher) advise(service ids.Service, list []advisory.Status) {
	now := d.Clock.Now()
	for len(list) > 0 {
		page := list[:min(len(list), advisedAPage)]
		list = list[len(page):]
		message := advice{Service: service}
		for _, s := range page {
			message.Items = append(message.Items, advised{Life: s.Incarnation, Leaving: s.Leaving, Rest: s.Backoff, Takes: s.Limit.Aged(now)})
		}
		toHome(d, service, packets.KindAdvice, d.home.advised, &message)
	}
}

// adviseAll tells each home all that this entry knows of its targets. A home that has begun anew, or has not
// heard something, hears all of it with the first place that is given back; telling it each second as well would take
// more datagrams and save nothing.
func (d *Dispatcher) adviseAll() {
	lists := make(map[ids.Service][]advisory.Status)
	for _, said := range d.advice.All() {
		t := d.view.Directory().Target(said.Incarnation.Target)
		if t == nil {
			continue
		}
		// Of the life that is listed: one that was not read yet may have spoken.
		if s := d.advice.Status(t.Incarnation()); s.Blocks() || s.Limit.Known {
			lists[t.Service] = append(lists[t.Service], s)
		}
	}
	for service, list := range lists {
		d.advise(service, list)
	}
}

// barred reports whether the target of a grant has told this entry to send nothing, or nothing beyond a limit by which the
// home has not counted the grant. A home that knows less of the limit is told.
func (d *Dispatcher) barred(a *answer) bool {
	t := d.view.Directory().Target(a.Life.Target)
	if t == nil || !t.Incarnation().Same(a.Life) {
		return false
	}
	home := a.Takes.Report(d.Clock.Now())
	s := d.advice.ObserveOwner(t.Incarnation(), home)
	if s.Limit.Differs(home) {
		d.advise(t.Service, []advisory.Status{s})
	}
	return s.Blocks() || s.Limit.IsLimited() && !a.Counted
}

// mostWithheld is how many grants a request gives back before it is not to get the same target again: the
// home does not hear the reason.
const mostWithheld = 3

// withhold gives back a grant for a target that has told this entry to send nothing. The home is told the
// reason first, and what all others have told, so that a home that knows none of it costs the request one round
// trip.
func (d *Dispatcher) withhold(p *pending, life ids.TargetIncarnation) {
	d.Metrics.Links.Add("grants_withheld", 1)
	d.adviseAll()
	if p.withheld++; p.withheld > mostWithheld {
		p.want.Exclude = append(slices.Clone(p.want.Exclude), life)
	}
	d.giveBack(p, planner.Withheld)
}
