// Package quota keeps, at one entry, limits that apply to all entries together: on what client accounts may run, and
// on how often requests are retried. Each entry spends its own share, so that no other entry need be queried at a
// request. The package does no I/O and reads no clock.
package quota

import (
	"math"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// bucket is a token bucket: what one account may still run at this entry.
type bucket struct {
	level     float64      // units; below zero after a request larger than what was left
	capacity  float64      // units: the account's burst times this entry's share
	share     float64      // the largest so far; only growth beyond it is filled initially
	updatedAt clock.Millis // time up to which it was refilled
}

// Allowance holds the token buckets of accounts. It is safe for concurrent use.
type Allowance struct {
	// initialFill returns the fraction to which capacity is filled when it is added to a bucket for the first time.
	initialFill func(*routing.Account) float64
	mu          sync.Mutex // guards buckets and their contents
	buckets     map[ids.Account]*bucket
}

// NewAllowance returns an allowance without history, its buckets nearly empty.
func NewAllowance() *Allowance {
	return NewFilledAllowance(func(*routing.Account) float64 { return defaultInitialFill })
}

// NewFilledAllowance returns an allowance whose buckets are initially full to a fraction between 0 and 1. Capacity
// that a larger share adds later is filled to the same fraction.
func NewFilledAllowance(fraction func(*routing.Account) float64) *Allowance {
	return &Allowance{initialFill: fraction, buckets: make(map[ids.Account]*bucket)}
}

// defaultInitialFill is how full a bucket is at first: an entry that has just started
// cannot know what its previous process has spent.
const defaultInitialFill = 0.1

// Spending is a request for units of an account's bucket, with the limits that apply to it.
type Spending struct {
	// Share is the fraction of the allowance that this entry holds, above 0 and at most 1.
	Share float64
	Units float64
	// Reserve is the fraction of the bucket that is left to other requests.
	Reserve float64
	// Debt is how far below 0 this request may take the bucket; math.Inf(1) is no limit.
	Debt float64
}

// Take counts units against an account's allowance. If the share is spent, it returns false and after what time to try
// again: when half of the units are there beyond Reserve, and the debt would be within Debt. A request larger than
// what is left is admitted while more than Reserve is left and its debt is within Debt, so that large requests do not
// starve.
func (a *Allowance) Take(now clock.Millis, account *routing.Account, s Spending) (bool, clock.Millis) {
	if account.PerSecond <= 0 {
		return true, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.refill(now, account, s.Share)
	reserved := s.Reserve * b.capacity
	if b.level > reserved && s.Units-b.level <= s.Debt {
		b.level -= s.Units
		return true, 0
	}
	missing := max(s.Units/2+reserved, s.Units-s.Debt) - b.level
	perMilli := account.PerSecond * s.Share / float64(clock.Second)
	return false, clock.Millis(math.Ceil(max(0, missing) / perMilli))
}

// Return gives back units that did not run, as far as the bucket has room for them.
func (a *Allowance) Return(account ids.Account, units float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.buckets[account]; b != nil {
		b.level = min(b.capacity, b.level+units)
	}
}

// refill brings an account's bucket up to now and to the share that this entry holds; the lock is held.
func (a *Allowance) refill(now clock.Millis, account *routing.Account, share float64) *bucket {
	capacity := account.Burst * share
	b := a.buckets[account.Name]
	if b == nil {
		b = &bucket{updatedAt: now}
		a.buckets[account.Name] = b
	}
	if share > b.share {
		b.level += account.Burst * (share - b.share) * a.initialFill(account)
		b.share = share
	}
	b.capacity = capacity
	b.level = min(capacity, b.level+float64(now-b.updatedAt)*account.PerSecond*share/float64(clock.Second))
	b.updatedAt = now
	return b
}

// Forget drops the buckets of accounts that are no longer known.
func (a *Allowance) Forget(known func(ids.Account) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.buckets {
		if !known(name) {
			delete(a.buckets, name)
		}
	}
}
