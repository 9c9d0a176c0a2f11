package dispatch

import (
	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/fairshare"
	"quaydock/pkg/planner"
)

// updateAccounts passes the weights of the client accounts to a planner if they have changed; the caller holds the lock.
// With fewer than two accounts there is nothing to share.
func (owner *Owner) updateAccounts(now clock.Millis, g *servicePlanner) {
	catalog := owner.view.Catalog()
	if catalog == nil || g.catalog == catalog {
		return
	}
	g.catalog = catalog
	if len(catalog.Accounts()) < 2 {
		g.planner.SetAccountWeights(now, nil)
		return
	}
	g.planner.SetAccountWeights(now, catalog.ShareWeight)
}

// logOverShare logs the refusal of a request whose account asks for more than its share.
func (owner *Owner) logOverShare(d *planner.Refusal) {
	s := d.OverShare
	if s == nil || !owner.sampler.Allow("over_share") {
		return
	}
	owner.Log.WithFields(logrus.Fields{
		"entry": d.ID.Entry, "number": d.ID.Number, "account": string(s.Account),
		"share": roundToTenth(s.Share), "use": roundToTenth(s.Use), "demand": roundToTenth(s.Demand),
	}).Info("refused a request of an account over its share")
}

// accountFields returns what a planner's line tells of client accounts, nothing while none share the targets.
func accountFields(s *planner.AccountSummary) logrus.Fields {
	if s.Accounts == 0 {
		return nil
	}
	heaviest := s.Heaviest
	return logrus.Fields{
		"accounts": s.Accounts, "accounts_over_share": s.OverShare, "refusals_over_share": s.Refusals, "heaviest_account": string(heaviest.Account),
		"heaviest_share": roundToTenth(heaviest.Share), "heaviest_use": roundToTenth(heaviest.Use), "heaviest_demand": roundToTenth(heaviest.Demand),
	}
}

// AccountReports returns the shares of client accounts in the services that this entry plans for.
func (d *Dispatcher) AccountReports() []fairshare.Report {
	owner := d.owner
	owner.mu.Lock()
	defer owner.mu.Unlock()
	reports := []fairshare.Report{}
	for service, g := range owner.planners {
		for _, r := range g.planner.AccountReports() {
			r.Service = service
			reports = append(reports, r)
		}
	}
	fairshare.SortReports(reports)
	return reports
}
