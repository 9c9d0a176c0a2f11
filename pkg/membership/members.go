// Package membership knows the entries of a deployment: how many may be
// serving, and what share of each account's allowance this one holds.
package membership

import (
	"context"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/follow"
	"quaydock/pkg/ids"
)

// Rows writes rows of the table of members.
type Rows interface {
	Put(ctx context.Context, key string, value []byte) error
}

// Members is the list of entries. It handles what a follower reads.
type Members struct {
	common.Common
	self    ids.Process
	address string
	rows    Rows

	mu   sync.Mutex
	list map[ids.Process]string
}

var _ follow.Handler = (*Members)(nil)

// New returns a list with this entry alone.
func New(c common.Common, self ids.Process, address string, rows Rows) *Members {
	return &Members{Common: c, self: self, address: address, rows: rows, list: map[ids.Process]string{self: address}}
}

const (
	writeTimeout = clock.Second
	minBackoff   = 50 * clock.Millisecond
	maxBackoff   = clock.Second
)

// Register writes this entry's row until the store has taken it.
func (m *Members) Register(ctx context.Context) {
	backoff := m.Random.NewBackoff(minBackoff, maxBackoff)
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
		err := m.rows.Put(limited, string(m.self), []byte(m.address))
		cancel()
		if err == nil {
			return
		}
		m.Log.WithError(err).Warn("not yet listed among the entries")
		backoff.Pause(ctx)
	}
}

// Whole replaces the list.
func (m *Members) Whole(rows []follow.Row, _ clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = map[ids.Process]string{m.self: m.address}
	for _, r := range rows {
		m.list[ids.Process(r.Key)] = string(r.Value)
	}
}

// Changed applies changes.
func (m *Members) Changed(rows []follow.Row, _ clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rows {
		if r.Gone {
			delete(m.list, ids.Process(r.Key))
		} else {
			m.list[ids.Process(r.Key)] = string(r.Value)
		}
	}
}

// Lost does nothing: the list stays.
func (m *Members) Lost(error) {}

// Entries is how many entries may be serving.
func (m *Members) Entries() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, len(m.list))
}

// Share is the part of an account's allowance that this entry holds.
func (m *Members) Share(ids.Account) float64 {
	return 1 / float64(m.Entries())
}
