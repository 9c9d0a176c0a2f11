package dispatch

import (
	"net/netip"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
)

// asked takes an ask and answers it, at once or later.
func (h *Owner) asked(from netip.AddrPort, a *ask) {
	now := h.Clock.Now()
	h.mu.Lock()
	g := h.group(now, a.Service, from)
	if g == nil {
		h.mu.Unlock()
		return
	}
	job := a.job(from, now)
	g.planner.Submit(now, job)
	decided := g.planner.Decisions()
	if !about(decided, job.ID) {
		decided = append(decided, standingOf(g.planner, job.ID))
	}
	h.mu.Unlock()
	h.tell(decided)
}

// queues repeats that a job waits.
type queues struct {
	planner.Decision
	id planner.JobID
}

// standingOf repeats what is known of a job: where it is, or that it waits.
func standingOf(p *planner.Planner, id planner.JobID) planner.Decision {
	if g, granted := p.GrantOf(id); granted {
		return g
	}
	return queues{id: id}
}

func about(decided []planner.Decision, id planner.JobID) bool {
	for _, d := range decided {
		switch d := d.(type) {
		case planner.Grant:
			if d.ID == id {
				return true
			}
		case planner.Refuse:
			if d.ID == id {
				return true
			}
		}
	}
	return false
}

func (h *Owner) tell(decided []planner.Decision) {
	for _, d := range decided {
		switch d := d.(type) {
		case planner.Grant:
			if d.Counted {
				h.Metrics.Links.Add("grants_by_limits", 1)
			}
			h.answer(d.ID, answer{Verdict: granted, Life: d.Incarnation, Takes: d.RateLimit.Aged(h.Clock.Now()), Counted: d.Counted})
		case planner.Refuse:
			kind := refused
			switch {
			case d.NoTargets:
				kind = noTarget
			case d.BackedOff:
				kind = resting
			}
			h.answer(d.ID, answer{Verdict: kind, RetryAfter: d.RetryAfter, Ahead: d.Ahead, Wait: d.Wait})
		case planner.Move:
			h.answer(d.ID, answer{Verdict: move})
		case queues:
			h.answer(d.id, answer{Verdict: queued})
		}
	}
}

func (h *Owner) answer(id planner.JobID, a answer) {
	to, err := netip.ParseAddrPort(id.Entry)
	if err != nil {
		h.Log.WithError(err).Error("an entry without an address")
		return
	}
	a.Number = id.Number
	h.send(to, a)
}

// stepped takes the progress of a request.
func (h *Owner) stepped(from netip.AddrPort, s *step) {
	now := h.Clock.Now()
	id := planner.JobID{Entry: from.String(), Number: s.Number}
	h.with(now, s.Service, from, func(p *planner.Planner) {
		switch s.Progress {
		case begun:
			p.Begin(now, id, s.Load)
		case done:
			flow := s.Flow
			if since, granted := p.GrantedAt(id); granted {
				// Where both stood still, it was mostly at once.
				flow.Stalled = max(flow.Stalled, h.stalls.Within(since, now))
			}
			p.Finish(now, id, s.Outcome, flow)
		case withdrawn:
			p.Withdraw(now, id)
		}
	})
}

// synced compares what an entry has with what is known here.
func (h *Owner) synced(from netip.AddrPort, s *sync) {
	now := h.Clock.Now()
	h.with(now, s.Service, from, func(p *planner.Planner) {
		listed := make(map[uint64]bool, len(s.Items))
		for i := range s.Items {
			it := &s.Items[i]
			listed[it.Number] = true
			id := planner.JobID{Entry: from.String(), Number: it.Number}
			p.Restore(now, planner.Job{ID: id, Account: it.Account, Tier: it.Tier, Prompt: it.Prompt, Events: it.Events}, it.Life, it.Begun)
			if it.Begun {
				p.Begin(now, id, nil)
			}
		}
		p.RetainJobs(now, from.String(), func(id planner.JobID) bool {
			return id.Number%max(1, s.Pages) != s.Page || listed[id.Number]
		})
	})
}

// with runs do on the planner of a service and tells what it decided.
func (h *Owner) with(now clock.Millis, service ids.Service, from netip.AddrPort, do func(*planner.Planner)) {
	h.mu.Lock()
	g := h.group(now, service, from)
	if g == nil {
		h.mu.Unlock()
		return
	}
	do(g.planner)
	decided := g.planner.Decisions()
	h.mu.Unlock()
	h.tell(decided)
}
