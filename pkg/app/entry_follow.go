package app

import (
	"context"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
	"quaydock/pkg/targetlist"
	"quaydock/platform"
)

// followEntries follows the list of the entries.
func (p *entryProcess) followEntries(ctx context.Context) {
	handler := newEntriesHandler(p.Common, p.members, p.rollouts, p.guard)
	p.follower(platform.TableMembers, handler, follow.Options{Wait: membersWait, AnswerTimeout: storeAnswer}).Run(ctx)
}

// followRest follows the configuration and the targets once it is known who the others
// are: these may have read them already.
func (p *entryProcess) followRest(ctx context.Context) {
	select {
	case <-p.members.FirstListed():
	case <-time.After(membersFirst.Duration()):
		p.Log.WithField("read", p.members.ListRead()).Warn("no entry seen on the list yet; reading the other tables without it")
	case <-ctx.Done():
		return
	}
	configuration := &configurationHandler{Common: p.Common, view: p.view, applied: p.applied, domains: p.domains, faults: follow.NewFaults(p.Common, "configuration")}
	if p.rollouts != nil {
		configuration.orders = p.rollouts
	}
	go p.follower(platform.TableOperators, configuration, follow.Options{Wait: configurationWait, AnswerTimeout: storeAnswer, SnapshotInterval: configurationReread}).Run(ctx)
	targets := targetlist.New(p.Common, platform.ParseTarget, p.domains.SetDirectory)
	go p.follower(platform.TableTargets, targets, follow.Options{Wait: targetlist.WaitForChanges, AnswerTimeout: storeAnswer}).Run(ctx)
}

func (p *entryProcess) follower(table string, handler follow.Handler, options follow.Options) *follow.Follower {
	c := p.Common
	c.Log = c.Log.WithField("table", table)
	return follow.NewFollower(c, p.board.Source(table, p.store.Table(table)), handler, options)
}

// applied puts a configuration's limits in force and forgets what belongs to
// accounts that are gone.
func (p *entryProcess) applied(c *routing.Catalog) {
	known := make(map[ids.Account]bool)
	for _, a := range c.Accounts() {
		known[a.Name] = true
	}
	p.callers.SetLimits(c.Limits)
	p.controller.RetainRoutes(c.HasRoute)
	p.meter.Forget(func(name ids.Account) bool { return known[name] })
}

func (p *entryProcess) prune(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Pause(ctx, pruneEvery)
		if d := p.view.Directory(); d != nil {
			p.pool.Prune(d)
			p.advice.Prune(d)
		}
	}
}
