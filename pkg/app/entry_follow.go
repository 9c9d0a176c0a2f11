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

// followEntries follows the table of the entries until ctx ends.
func (p *entryProcess) followEntries(ctx context.Context) {
	handler := newEntriesHandler(p.Common, p.members, p.rollouts, p.guard, p.origins)
	p.follower(platform.TableMembers, handler, follow.Options{Wait: membersWait, AnswerTimeout: storeTimeout}).Run(ctx)
}

// followOtherTables follows the configuration and the targets once the other entries are known,
// since these may have read the tables already and can relay them, or after firstListTimeout.
func (p *entryProcess) followOtherTables(ctx context.Context) {
	select {
	case <-p.members.FirstListed():
	case <-time.After(firstListTimeout.Duration()):
		p.Log.WithField("read", p.members.ListRead()).Warn("no entry seen on the list yet; reading the other tables without it")
	case <-ctx.Done():
		return
	}
	configuration := &configurationHandler{Common: p.Common, view: p.view, onApplied: p.applyCatalog, domains: p.domains, onRead: p.origins.ConfigurationRead, faults: follow.NewFaults(p.Common, "configuration")}
	if p.rollouts != nil {
		configuration.orders = p.rollouts
	}
	kept := follow.NewKeeper(p.Clock, configuration, func(key string) bool { return key == platform.KeyConfiguration })
	go p.follower(platform.TableOperators, kept, follow.Options{Wait: configurationWait, AnswerTimeout: storeTimeout, SnapshotInterval: configurationReread}).Run(ctx)
	targets := p.origins.ObserveTargets(targetlist.New(p.Common, platform.ParseTarget, p.domains.SetDirectory))
	go p.follower(platform.TableTargets, targets, follow.Options{Wait: targetlist.WaitForChanges, AnswerTimeout: storeTimeout}).Run(ctx)
}

// follower returns a follower that reads a table of the store through the feed relay.
func (p *entryProcess) follower(table string, handler follow.Handler, options follow.Options) *follow.Follower {
	c := p.Common
	c.Log = c.Log.WithField("table", table)
	return follow.NewFollower(c, p.relay.Source(table, p.store.Table(table)), handler, options)
}

// applyCatalog puts a configuration's limits in force and drops the state of accounts and routes that
// it no longer has.
func (p *entryProcess) applyCatalog(c *routing.Catalog) {
	known := make(map[ids.Account]bool)
	for _, a := range c.Accounts() {
		known[a.Name] = true
	}
	p.callers.SetLimits(c.Limits)
	p.controller.RetainRoutes(c.HasRoute)
	p.origins.SetRoutes(c.StreamRoutes())
	p.meter.Forget(func(name ids.Account) bool { return known[name] })
}

// prune closes connections to targets that are no longer listed and drops advice that has expired, every pruneInterval
// until ctx ends.
func (p *entryProcess) prune(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Pause(ctx, pruneInterval)
		if d := p.view.Directory(); d != nil {
			p.pool.Prune(d)
			p.advice.Prune(d)
		}
	}
}
