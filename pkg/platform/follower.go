package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/declaration"
	"quaydock/pkg/invariant"
)

// Rows of the configuration.
const (
	KeyHead   Key = "config/head"
	prefixSet Key = "config/set/"
)

// Head is the value of the row KeyHead.
type Head struct {
	Revision declaration.Revision `json:"revision"`
}

// KeySet returns the row that holds the set of a revision.
func KeySet(revision declaration.Revision) Key {
	return prefixSet + Key(strconv.FormatInt(int64(revision), 10))
}

// Follower keeps the highest configuration that it has seen. It only moves
// upwards, whatever a lagging read says.
type Follower struct {
	common.Common
	table   *Table
	poll    clock.Millis
	book    atomic.Pointer[declaration.Book]
	applied func(*declaration.Book)
}

// NewFollower returns a follower that has no configuration yet. The function
// applied is called with each new one, from the goroutine of Run.
func NewFollower(c common.Common, table *Table, poll clock.Millis, applied func(*declaration.Book)) *Follower {
	return &Follower{Common: c, table: table, poll: poll, applied: applied}
}

// Book returns the configuration in force, or nil before the first.
func (f *Follower) Book() *declaration.Book {
	return f.book.Load()
}

// Run looks at the head until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for {
		if err := f.look(ctx); err != nil {
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

// firstPoll is the time between looks before there is any configuration.
const firstPoll = 100 * clock.Millisecond

func (f *Follower) wait() clock.Millis {
	if f.Book() == nil {
		return min(f.poll, firstPoll)
	}
	return f.poll
}

func (f *Follower) look(ctx context.Context) error {
	row, err := f.table.Read(ctx, KeyHead)
	if err != nil {
		return fmt.Errorf("head: %w", err)
	}
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return fmt.Errorf("head: %w", err)
	}
	if current := f.Book(); current != nil && head.Revision <= current.Revision {
		return nil
	}
	return f.fetch(ctx, head.Revision)
}

func (f *Follower) fetch(ctx context.Context, revision declaration.Revision) error {
	row, err := f.table.Read(ctx, KeySet(revision))
	if err != nil {
		return fmt.Errorf("revision %d: %w", revision, err)
	}
	var set declaration.Set
	if err := json.Unmarshal(row.Value, &set); err != nil {
		return fmt.Errorf("revision %d: %w", revision, err)
	}
	book, err := declaration.NewBook(revision, set)
	if err != nil {
		return fmt.Errorf("revision %d: %w", revision, err)
	}
	f.apply(book)
	return nil
}

func (f *Follower) apply(book *declaration.Book) {
	before := f.book.Swap(book)
	f.Check.That(before == nil || before.Revision < book.Revision, invariant.RevisionUpward,
		"revision %d applied", book.Revision)
	f.Log.WithField("revision", book.Revision).Info("configuration in force")
	f.applied(book)
}
