package table

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/declaration"
	"quaydock/pkg/invariant"
)

// Follower keeps the configuration with the highest revision that it has read. The revision never
// decreases, even if a read returns an older head.
type Follower struct {
	common.Common
	table   *Table
	poll    clock.Millis                      // the time between two reads of the head
	index   atomic.Pointer[declaration.Index] // nil before the first configuration
	applied func(*declaration.Index)
}

// NewFollower returns a follower that has no configuration yet. The function applied is called with the
// index of each new one, from the goroutine of Run.
func NewFollower(c common.Common, table *Table, poll clock.Millis, applied func(*declaration.Index)) *Follower {
	return &Follower{Common: c, table: table, poll: poll, applied: applied}
}

// Index returns the index of the configuration in force, or nil before the first.
func (f *Follower) Index() *declaration.Index {
	return f.index.Load()
}

// Run polls the head until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for {
		if err := f.pollHead(ctx); err != nil {
			f.Metrics.Configuration.Add("failed_polls", 1)
			f.Log.WithError(err).Warning("configuration not read; the one in force stays")
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(f.wait().Duration()):
		}
	}
}

// firstPoll is the time between polls before there is any configuration.
const firstPoll = 100 * clock.Millisecond

// wait returns the time until the next poll.
func (f *Follower) wait() clock.Millis {
	if f.Index() == nil {
		return min(f.poll, firstPoll)
	}
	return f.poll
}

// pollHead reads the head, and the configuration if that has a higher revision than the one in force.
func (f *Follower) pollHead(ctx context.Context) error {
	var head Head
	if err := f.table.readValue(ctx, KeyHead, &head); err != nil {
		return fmt.Errorf("reading configuration head: %w", err)
	}
	if current := f.Index(); current != nil && head.Revision <= current.Revision {
		return nil
	}
	return f.fetch(ctx, head)
}

// fetch moves to a higher revision, by the changes since the one in force or since the newest snapshot.
func (f *Follower) fetch(ctx context.Context, head Head) error {
	revision, set := head.Snapshot, declaration.Set{}
	if current := f.Index(); current != nil && current.Revision >= head.Snapshot {
		revision, set = current.Revision, current.Set()
	} else if err := f.table.readValue(ctx, keySet(head.Snapshot), &set); err != nil {
		return fmt.Errorf("reading configuration snapshot %d: %w", head.Snapshot, err)
	}
	for revision < head.Revision {
		var change declaration.Change
		if err := f.table.readValue(ctx, keyChange(revision+1), &change); err != nil {
			return fmt.Errorf("reading configuration change %d: %w", revision+1, err)
		}
		set = change.Apply(set)
		revision++
	}
	index, err := declaration.NewIndex(revision, set)
	if err != nil {
		return fmt.Errorf("indexing configuration revision %d: %w", revision, err)
	}
	f.apply(index)
	return nil
}

// apply puts a configuration in force.
func (f *Follower) apply(index *declaration.Index) {
	before := f.index.Swap(index)
	f.Check.Verify(before == nil || before.Revision < index.Revision, invariant.RevisionUpward,
		"revision %d applied", index.Revision)
	f.Log.WithField("revision", index.Revision).Info("configuration in force")
	f.applied(index)
}
