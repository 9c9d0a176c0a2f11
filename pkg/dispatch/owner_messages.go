package dispatch

import (
	"net/netip"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
)

// receiveSubmit handles a request that may get targets of any version.
func (owner *Owner) receiveSubmit(from netip.AddrPort, a *submitMessage) {
	now := owner.Clock.Now()
	job := a.job(from, now)
	if c := owner.view.Catalog(); c != nil {
		job.BeginsStream = c.IsStream(job.Route)
	}
	owner.submit(now, from, a.Service, job)
}

// receiveVersionSubmit handles a request that may get targets of one version.
func (owner *Owner) receiveVersionSubmit(from netip.AddrPort, a *versionSubmitMessage) {
	now := owner.Clock.Now()
	job := a.Submit.job(from, now)
	job.Version = &a.Version
	owner.submit(now, from, a.Submit.Service, job)
}

// submit passes a request on to its planner and sends the decision, or that the request is queued.
func (owner *Owner) submit(now clock.Millis, from netip.AddrPort, service ids.Service, job planner.Job) {
	owner.mu.Lock()
	g := owner.plannerForSender(now, service, from)
	if g == nil {
		owner.mu.Unlock()
		return
	}
	g.planner.Submit(now, job)
	decisions := g.planner.Decisions()
	if !decides(decisions, job.ID) {
		decisions = append(decisions, currentDecision(g.planner, job.ID))
	}
	owner.mu.Unlock()
	owner.sendDecisions(decisions)
}

// stillQueued is the decision for a job that waits on after a submission. Its embedded Decision is nil and only makes
// it a planner.Decision.
type stillQueued struct {
	planner.Decision
	id planner.JobID
}

// currentDecision returns the grant that a job has, or else that it is queued.
func currentDecision(p *planner.Planner, id planner.JobID) planner.Decision {
	if g, granted := p.RunningGrant(id); granted {
		return g
	}
	return stillQueued{id: id}
}

// decides reports whether one of the decisions grants or refuses a job.
func decides(decisions []planner.Decision, id planner.JobID) bool {
	for _, d := range decisions {
		switch d := d.(type) {
		case planner.Grant:
			if d.ID == id {
				return true
			}
		case planner.Refusal:
			if d.ID == id {
				return true
			}
		}
	}
	return false
}

// sendDecisions sends each decision to the entry of its job. The caller must not hold the lock, as for this entry's own
// jobs the decision is handled in the call.
func (owner *Owner) sendDecisions(decisions []planner.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case planner.Grant:
			if d.Counted {
				owner.Metrics.Links.Add("grants_by_limits", 1)
			}
			owner.sendDecision(d.ID, decisionMessage{Kind: granted, Incarnation: d.Incarnation, Limit: d.RateLimit.Aged(owner.Clock.Now()), Counted: d.Counted})
		case planner.Refusal:
			kind := refused
			switch {
			case d.NoTargets:
				kind = noTarget
			case d.BackedOff:
				kind = backedOff
			}
			owner.logOverShare(&d)
			owner.logFreeSlots(&d)
			owner.sendDecision(d.ID, decisionMessage{Kind: kind, RetryAfter: d.RetryAfter, Ahead: d.Ahead, Wait: d.Wait})
		case planner.Move:
			owner.sendDecision(d.ID, decisionMessage{Kind: redispatch})
		case stillQueued:
			owner.sendDecision(d.id, decisionMessage{Kind: queued})
		}
	}
}

// sendDecision sends a decision to the entry whose address is in the job's id.
func (owner *Owner) sendDecision(id planner.JobID, a decisionMessage) {
	to, err := netip.ParseAddrPort(id.Entry)
	if err != nil {
		owner.Log.WithError(err).Error("cannot answer an entry: its id is not an address")
		return
	}
	a.Number = id.Number
	owner.sendMessage(to, a)
}

// receiveProgress passes the progress of a request on to its planner.
func (owner *Owner) receiveProgress(from netip.AddrPort, s *progressMessage) {
	now := owner.Clock.Now()
	id := planner.JobID{Entry: from.String(), Number: s.Number}
	owner.withPlanner(now, s.Service, from, func(p *planner.Planner) {
		switch s.Progress {
		case begun:
			p.RecordFirstEvent(now, id, s.Load)
		case done:
			flow := s.Flow
			if since, granted := p.GrantedAt(id); granted {
				// If both processes stalled, the stalls mostly overlapped: take the longer, not the sum.
				flow.Stalled = notCharged(now-since, max(flow.Stalled, owner.stalls.Within(since, now)))
			}
			p.Finish(now, id, s.Outcome, flow)
		case withdrawn:
			p.Withdraw(now, id)
		}
	})
}

// receiveSlowdownProgress passes progress on with the slowness that the target has reported.
func (owner *Owner) receiveSlowdownProgress(from netip.AddrPort, s *slowdownProgressMessage) {
	owner.receiveProgress(from, s.progress())
}

// receiveSync reconciles the planner with one page of the list of an entry's running requests: it restores those that
// the planner lacks, and ends those of this page that are not listed.
func (owner *Owner) receiveSync(from netip.AddrPort, s *syncMessage) {
	now := owner.Clock.Now()
	owner.withPlanner(now, s.Service, from, func(p *planner.Planner) {
		listed := make(map[uint64]bool, len(s.Items))
		for i := range s.Items {
			it := &s.Items[i]
			listed[it.Number] = true
			id := planner.JobID{Entry: from.String(), Number: it.Number}
			p.Restore(now, planner.Job{ID: id, Account: it.Account, Tier: it.Tier, Prompt: it.Prompt, Events: it.Events}, it.Incarnation, it.Begun)
			if it.Begun {
				p.RecordFirstEvent(now, id, nil)
			}
		}
		p.RetainJobs(now, from.String(), func(id planner.JobID) bool {
			return id.Number%max(1, s.Pages) != s.Page || listed[id.Number]
		})
	})
}

// withPlanner runs do on the planner of a service, with the lock held, and then sends the resulting decisions. If
// another entry is the owner, it does nothing: the sender repeats its message to that one.
func (owner *Owner) withPlanner(now clock.Millis, service ids.Service, from netip.AddrPort, do func(*planner.Planner)) {
	owner.mu.Lock()
	g := owner.plannerForSender(now, service, from)
	if g == nil {
		owner.mu.Unlock()
		return
	}
	do(g.planner)
	decisions := g.planner.Decisions()
	owner.mu.Unlock()
	owner.sendDecisions(decisions)
}
