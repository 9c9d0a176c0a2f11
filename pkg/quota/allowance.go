// Package quota bounds, at one entry, what must hold over all entries together:
// what a client account may have run, and how often requests are repeated. Each
// entry spends its own share, so that nothing need be asked at a request. It
// does no I/O and reads no clock.
package quota

import (
	"math"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// bucket is what one account may still have run at this entry.
type bucket struct {
	level    float64 // units; below zero after a request larger than the rest
	capacity float64
	share    float64 // the largest that was held
	at       clock.Millis
}

// Allowance keeps the accounts' buckets.
type Allowance struct {
	fresh   func(*routing.Account) float64
	mu      sync.Mutex
	buckets map[ids.Account]*bucket
}

// NewAllowance returns an allowance without history, its buckets nearly empty.
func NewAllowance() *Allowance {
	return NewFilledAllowance(func(*routing.Account) float64 { return startFill })
}

// NewFilledAllowance returns an allowance whose buckets are full to a part
// between 0 and 1 at first. What is added to the share later is as full.
func NewFilledAllowance(part func(*routing.Account) float64) *Allowance {
	return &Allowance{fresh: part, buckets: make(map[ids.Account]*bucket)}
}

// startFill is how full a bucket is at first: an entry that has just started
// cannot know what its earlier run has spent.
const startFill = 0.1

// Spending is a request to an account's bucket, and how it may use the bucket.
type Spending struct {
	// Share is the part of the allowance that this entry holds, between 0 and 1.
	Share float64
	Units float64
	// Keep is the part of the bucket that is left to others.
	Reserve float64
	// Debt is how far below 0 this request may take the bucket; math.Inf(1) is no limit.
	Debt float64
}

// Take counts units against an account's allowance. If the share is spent it returns false and
// when to come back. A request larger than what is left is taken as long as more than Keep is
// left and the debt that it leaves is within Debt, so that large requests are not starved.
func (a *Allowance) Take(now clock.Millis, account *routing.Account, s Spending) (bool, clock.Millis) {
	if account.PerSecond <= 0 {
		return true, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.fill(now, account, s.Share)
	kept := s.Reserve * b.capacity
	if b.level > kept && s.Units-b.level <= s.Debt {
		b.level -= s.Units
		return true, 0
	}
	missing := max(s.Units/2+kept, s.Units-s.Debt) - b.level
	perMilli := account.PerSecond * s.Share / float64(clock.Second)
	return false, clock.Millis(math.Ceil(max(0, missing) / perMilli))
}

// Return gives back units that were not run after all.
func (a *Allowance) Return(account ids.Account, units float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.buckets[account]; b != nil {
		b.level = min(b.capacity, b.level+units)
	}
}

// fill brings an account's bucket up to now; the lock is held.
func (a *Allowance) fill(now clock.Millis, account *routing.Account, share float64) *bucket {
	capacity := account.Burst * share
	b := a.buckets[account.Name]
	if b == nil {
		b = &bucket{at: now}
		a.buckets[account.Name] = b
	}
	if share > b.share {
		b.level += account.Burst * (share - b.share) * a.fresh(account)
		b.share = share
	}
	b.capacity = capacity
	b.level = min(capacity, b.level+float64(now-b.at)*account.PerSecond*share/float64(clock.Second))
	b.at = now
	return b
}

// Forget drops the buckets of accounts that are gone.
func (a *Allowance) Forget(known func(ids.Account) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.buckets {
		if !known(name) {
			delete(a.buckets, name)
		}
	}
}
