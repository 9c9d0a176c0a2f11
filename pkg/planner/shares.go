package planner

import (
	"cmp"
	"maps"
	"slices"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/fairshare"
	"quaydock/pkg/ids"
)

// accountShares holds what the client accounts of each tier hold and ask for, in slots. It answers tiers in which more is
// asked than fits: there, jobs of accounts that get more than their share go behind the others, however short they are,
// and do not count when the wait of the others is estimated.
type accountShares struct {
	weight      func(ids.Account) float64 // nil while there is nothing to share
	tiers       map[ids.TierRank]*tierShares
	refreshedAt clock.Millis
	outdated    bool // a job has asked for a slot since
	refusals    int  // of jobs of accounts that ask for more than their share
}

// tierShares holds the accounts of one tier.
type tierShares struct {
	accounts *fairshare.Tier
	shared   bool // more than one account is present
	grants   map[ids.Account]*grantsBySize
	// grantRates are the grants per second by the present class of their account and by size.
	grantRates [fairshare.Classes][sizeClasses]float64
	decay      fairshare.Decay // of the grants
}

// SetAccountWeights makes jobs of client accounts share the slots by their accounts' weights; nil ends that.
func (p *Planner) SetAccountWeights(now clock.Millis, weight func(ids.Account) float64) {
	switch {
	case weight == nil || p.off.Off(ablation.AccountShares):
		p.shares = accountShares{}
		for _, w := range p.queue.jobs {
			w.class = fairshare.Within
		}
	case p.shares.weight == nil:
		p.shares = accountShares{weight: weight, tiers: make(map[ids.TierRank]*tierShares)}
		p.adoptJobs(now)
	default:
		p.shares.weight = weight
		for _, t := range p.shares.tiers {
			t.accounts.Reweigh(weight)
		}
	}
}

// adoptJobs counts the jobs that run as they begin to share the slots. Their order is fixed, so that sums are repeatable.
func (p *Planner) adoptJobs(now clock.Millis) {
	running := slices.SortedFunc(maps.Values(p.runs), func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.ID.Entry, b.ID.Entry), cmp.Compare(a.ID.Number, b.ID.Number))
	})
	for _, r := range running {
		p.shares.ask(now, &r.Job)
		p.shares.start(now, &r.Job)
	}
}

// tier returns the shares of a tier, which it adds if they are missing.
func (s *accountShares) tier(now clock.Millis, rank ids.TierRank) *tierShares {
	t := s.tiers[rank]
	if t == nil {
		t = &tierShares{accounts: fairshare.NewTier(now), grants: make(map[ids.Account]*grantsBySize), decay: fairshare.NewDecay(grantWindow)}
		s.tiers[rank] = t
	}
	return t
}

// account returns a job's account with the shares of its tier.
func (s *accountShares) account(now clock.Millis, job *Job) (*fairshare.Tier, *fairshare.Account) {
	t := s.tier(now, job.Tier).accounts
	return t, t.Account(now, job.Account, s.weight(job.Account))
}

// ask records that a job asks for a slot, and returns the class of its account.
func (s *accountShares) ask(now clock.Millis, job *Job) fairshare.Class {
	if s.weight == nil {
		return fairshare.Within
	}
	s.outdated = true
	t, a := s.account(now, job)
	t.Ask(now, a)
	return a.Class()
}

// start records that a job that was queued has got a slot.
func (s *accountShares) start(now clock.Millis, job *Job) {
	if s.weight != nil {
		t, a := s.account(now, job)
		t.Start(now, a)
	}
}

// end records that a job's slot is free again.
func (s *accountShares) end(now clock.Millis, job *Job) {
	if s.weight != nil {
		t, a := s.account(now, job)
		t.End(now, a)
	}
}

// countGrant records a grant in the rate of the job's account.
func (s *accountShares) countGrant(now clock.Millis, w *queuedJob) {
	if s.weight == nil {
		return
	}
	t := s.tier(now, w.Tier)
	g := t.grants[w.Account]
	if g == nil {
		g = &grantsBySize{smallest: w.size, largest: w.size, at: now}
		t.grants[w.Account] = g
	}
	g.decay(now, &t.decay)
	g.smallest, g.largest = min(g.smallest, w.size), max(g.largest, w.size)
	g.counts[w.size]++
}

// refresh determines the class of each account and sets that of the jobs, unless that was done at this time and no job
// has asked for a slot since, or was done just before.
func (s *accountShares) refresh(now clock.Millis, q *queue) {
	if s.weight == nil || now == s.refreshedAt && !s.outdated {
		return
	}
	if now-s.refreshedAt < s.refreshInterval() {
		return
	}
	s.refreshedAt, s.outdated = now, false
	for _, t := range s.tiers {
		t.classify(now)
	}
	for _, w := range q.jobs {
		w.class = s.class(&w.Job)
	}
}

// accountsPerMilli is the number of accounts whose classes may be determined again after each millisecond: for a few at
// each decision, for hundreds every few milliseconds, since that takes longer than a decision and their means change
// slowly.
const accountsPerMilli = 50

// refreshInterval is the shortest time between two calls of refresh that have an effect.
func (s *accountShares) refreshInterval() clock.Millis {
	accounts := 0
	for _, t := range s.tiers {
		accounts += t.accounts.Len()
	}
	return clock.Millis(accounts / accountsPerMilli)
}

// classify determines the class of each account and the grant rates by class.
func (t *tierShares) classify(now clock.Millis) {
	t.shared = t.accounts.Classify(now)
	t.grantRates = [fairshare.Classes][sizeClasses]float64{}
	for _, a := range t.accounts.Accounts() {
		if g := t.grants[a.Name]; g != nil {
			g.decay(now, &t.decay)
			for size := g.smallest; size <= g.largest; size++ {
				t.grantRates[a.Class()][size] += g.counts[size] * float64(clock.Second) / float64(grantWindow)
			}
		}
	}
	if len(t.grants) > t.accounts.Len() {
		maps.DeleteFunc(t.grants, func(name ids.Account, _ *grantsBySize) bool { return t.accounts.Find(name) == nil })
	}
}

// class returns the class of a job's account.
func (s *accountShares) class(job *Job) fairshare.Class {
	if t := s.tiers[job.Tier]; t != nil {
		if a := t.accounts.Find(job.Account); a != nil {
			return a.Class()
		}
	}
	return fairshare.Within
}

// rateBefore returns the rate per second of recent grants in a job's tier to jobs that go before it, and whether several
// accounts share the tier: only then does it depend on them.
func (s *accountShares) rateBefore(w *queuedJob, late bool) (perSecond float64, shared bool) {
	t := s.tiers[w.Tier]
	if t == nil || !t.shared {
		return 0, false
	}
	before := w.class
	if late {
		before = lastBeforeLate(w.class) + 1
	}
	for class := range before {
		perSecond += sum(t.grantRates[class][:])
	}
	if late {
		return perSecond, true
	}
	own := t.grantRates[w.class]
	return perSecond + sum(own[:w.size]) + own[w.size]/2, true
}

// lastBeforeLate returns the last class of which jobs that can be in time go before a late one of a class. Accounts within
// their share are served before all others, so that a job of theirs which was refused once does not wait for a flood; among
// the others a late answer is worth less to its caller than one in time to another.
func lastBeforeLate(class fairshare.Class) fairshare.Class {
	if class == fairshare.Within {
		return fairshare.Within
	}
	return fairshare.Above
}

// sum returns the sum of some rates.
func sum(rates []float64) float64 {
	all := 0.0
	for _, r := range rates {
		all += r
	}
	return all
}

// countRefusal returns the standing of a refused job's account if that asks for more than its share, nil otherwise.
func (s *accountShares) countRefusal(w *queuedJob) *fairshare.Standing {
	if w.class == fairshare.Within {
		return nil
	}
	a := s.tiers[w.Tier].accounts.Find(w.Account)
	if a == nil {
		return nil
	}
	s.refusals++
	standing := a.Standing()
	return &standing
}

// AccountSummary tells of the client accounts that share the slots.
type AccountSummary struct {
	// Accounts is the number of accounts that hold slots, or held or asked for some lately, in all tiers; OverShare is the
	// number of those that ask for more than their share. Refusals counts refusals of jobs of such accounts.
	Accounts, OverShare, Refusals int
	// Heaviest is the standing of the account that holds most slots in a tier.
	Heaviest fairshare.Standing
}

// AccountSummary returns the state of the client accounts as of the last Tick or decision on a waiting job.
func (p *Planner) AccountSummary() AccountSummary {
	s := AccountSummary{Refusals: p.shares.refusals}
	for _, r := range p.AccountReports() {
		s.Accounts++
		if r.Class != fairshare.Within {
			s.OverShare++
		}
		if r.Use > s.Heaviest.Use {
			s.Heaviest = r.Standing
		}
	}
	return s
}

// AccountReports returns the standings of the client accounts in all tiers, as AccountSummary counts them.
func (p *Planner) AccountReports() []fairshare.Report {
	var reports []fairshare.Report
	for rank, t := range p.shares.tiers {
		for _, standing := range t.accounts.Standings() {
			reports = append(reports, fairshare.Report{Tier: rank, Standing: standing})
		}
	}
	return reports
}

// grantsBySize counts the grants of one account by size class; earlier ones count less.
type grantsBySize struct {
	counts            [sizeClasses]float64
	smallest, largest sizeClass    // that have occurred
	at                clock.Millis // up to when the counts have decayed
}

// grantWindow is the time constant by which grants count less: their mean age is that in the window of a rate.
const grantWindow = rateSteps * rateStep / 2

// decay lets the grants count as of a later time.
func (g *grantsBySize) decay(now clock.Millis, d *fairshare.Decay) {
	if now <= g.at {
		return
	}
	kept := d.Factor(g.at, now)
	for size := g.smallest; size <= g.largest; size++ {
		g.counts[size] *= kept
	}
	g.at = now
}
